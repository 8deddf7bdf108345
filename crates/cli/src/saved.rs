//! Commands that read saved logs.

use eyre::{bail, Result, WrapErr};
use shaleline_explain::{trace, Line, Losses};

/// Reads the logs of all daemons. Invalid UTF-8 is replaced, because a line may have been cut
/// off within a character.
fn read_logs(logs: &[&str]) -> Result<String> {
    if logs.is_empty() {
        bail!("at least one saved log must be given");
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

/// Returns a table of the unserved requests of each model.
///
/// # Errors
/// Fails if a log can't be read or if no log has a line with an event.
pub fn losses(logs: &[&str]) -> Result<String> {
    let text = read_logs(logs)?;
    let lines = lines(&text);
    if lines.is_empty() {
        bail!("no line with an event number in {}", logs.join(" "));
    }
    let mut losses = Losses::default();
    lines.iter().for_each(|l| losses.record(l));
    Ok(losses.to_string())
}

/// Returns the lines that the daemons logged about a request.
///
/// # Errors
/// Fails if a log can't be read or if no log names the request.
pub fn explain(id: &str, logs: &[&str]) -> Result<String> {
    let text = read_logs(logs)?;
    let found = trace(&lines(&text), id);
    if found.is_empty() {
        bail!(
            "no line about {id}; its line may have been dropped, see shaleline_log_lines_dropped"
        );
    }
    let texts: Vec<&str> = found.iter().map(|l| l.text).collect();
    Ok(texts.join("\n"))
}
