//! Parsing of log lines.

use shaleline_types::LogEvent;

/// A log line with an event number. Text before the event, such as the instance that a log
/// collector adds, is kept unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line<'a> {
    /// The whole line.
    pub text: &'a str,
    /// The event.
    pub event: LogEvent,
    fields: Vec<(&'a str, &'a str)>,
}

/// Splits off the first `key=value` pair; a value with spaces is quoted.
fn split_pair(text: &str) -> Option<((&str, &str), &str)> {
    let text = text.trim_start();
    let (key, rest) = text.split_once('=')?;
    if key.contains(' ') {
        // Skips a word without a value.
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
    /// Parses a line; returns `None` if it has no known event number.
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

    /// Returns the value of a field.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    /// Returns the value of a numeric field.
    #[must_use]
    pub fn number(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }

    /// Returns the requested model with its adapter; `None` for a plain service.
    #[must_use]
    pub fn asked(&self) -> Option<&'a str> {
        self.get("asked")?.strip_prefix("models/")
    }

    /// Returns the requested model without its adapter.
    #[must_use]
    pub fn model(&self) -> Option<&'a str> {
        self.asked()?.split('+').next()
    }

    /// Returns the time of the line, as text that sorts by time.
    #[must_use]
    pub fn time(&self) -> &'a str {
        self.get("time").unwrap_or_default()
    }
}
