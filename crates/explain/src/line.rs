//! One log line.

use shaleline_types::LogEvent;

/// A log line that bears a numbered event. What stands before the event, such as the
/// instance that a log collector adds, is kept as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line<'a> {
    /// The whole line.
    pub text: &'a str,
    /// The event.
    pub event: LogEvent,
    fields: Vec<(&'a str, &'a str)>,
}

/// Splits one `key=value` pair off; a value with spaces stands in quotes.
fn split_pair(text: &str) -> Option<((&str, &str), &str)> {
    let text = text.trim_start();
    let (key, rest) = text.split_once('=')?;
    if key.contains(' ') {
        // A word without a value: what comes after it is read on.
        return split_pair(text.split_once(' ')?.1);
    }
    if let Some(quoted) = rest.strip_prefix('"') {
        let (value, rest) = quoted.split_once('"')?;
        return Some(((key, value), rest));
    }
    let (value, rest) = rest.split_once(' ').unwrap_or((rest, ""));
    Some(((key, value), rest))
}

impl<'a> Line<'a> {
    /// Reads a line; none where it bears no event that is known.
    #[must_use]
    pub fn from_text(text: &'a str) -> Option<Self> {
        let text = text.trim_end();
        let mut fields = Vec::new();
        let mut rest = text;
        while let Some((pair, next)) = split_pair(rest) {
            fields.push(pair);
            rest = next;
        }
        let number = fields.iter().find(|(k, _)| *k == "event")?.1;
        let number: u16 = number.parse().ok()?;
        let event = LogEvent::ALL.iter().find(|e| e.number() == number)?;
        Some(Self {
            text,
            event: *event,
            fields,
        })
    }

    /// The value of a field.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    /// The value of a field that holds a number.
    #[must_use]
    pub fn number(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }

    /// The model that a request asks for, with its adapter; none for a plain service.
    #[must_use]
    pub fn asked(&self) -> Option<&'a str> {
        self.get("asked")?.strip_prefix("models/")
    }

    /// The model that a request asks for, without its adapter.
    #[must_use]
    pub fn model(&self) -> Option<&'a str> {
        self.asked()?.split('+').next()
    }

    /// When it was written, as text that sorts.
    #[must_use]
    pub fn time(&self) -> &'a str {
        self.get("time").unwrap_or_default()
    }
}
