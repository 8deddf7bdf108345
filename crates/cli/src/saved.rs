//! Commands that read saved logs.

use eyre::{bail, Result, WrapErr};
use shaleline_explain::{trace, Line, Losses};

/// Reads the logs of all daemons. Bytes that are no text stand for a line cut off, and are
/// replaced.
fn read(logs: &[&str]) -> Result<String> {
    if logs.is_empty() {
        bail!("name the saved logs of the daemons");
    }
    let mut all = String::new();
    for path in logs {
        let bytes = std::fs::read(path).wrap_err_with(|| format!("can't read {path}"))?;
        all.push_str(&String::from_utf8_lossy(&bytes));
        all.push('\n');
    }
    Ok(all)
}

fn lines(text: &str) -> Vec<Line<'_>> {
    text.lines().filter_map(Line::from_text).collect()
}

/// What callers of each model did not get.
///
/// # Errors
/// Where a log can't be read or holds no line with an event.
pub fn losses(logs: &[&str]) -> Result<String> {
    let text = read(logs)?;
    let lines = lines(&text);
    if lines.is_empty() {
        bail!("no line with a numbered event in {}", logs.join(" "));
    }
    let mut losses = Losses::default();
    lines.iter().for_each(|l| losses.note(l));
    Ok(losses.to_string())
}

/// What the daemons wrote about a request.
///
/// # Errors
/// Where a log can't be read or none names the request.
pub fn explain(id: &str, logs: &[&str]) -> Result<String> {
    let text = read(logs)?;
    let found = trace(&lines(&text), id);
    if found.is_empty() {
        bail!(
            "no line about {id}: its line may have been dropped, see shaleline_log_lines_dropped"
        );
    }
    let texts: Vec<&str> = found.iter().map(|l| l.text).collect();
    Ok(texts.join("\n"))
}
