//! Writes numbered log events as lines of JSON.

use eyre::{Result, WrapErr};
use flexi_logger::{DeferredNow, Logger};
use log::Record;
use shaleline_types::{Level, LogEvent};
use std::io::Write;

/// Logs a numbered event. `detail` must not contain secrets.
pub(crate) fn emit(event: LogEvent, detail: &str) {
    let level = match event.level() {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
    };
    let fields = serde_json::json!({
        "event": event.number(),
        "name": format!("{event:?}"),
        "text": event.text(),
        "detail": detail,
    });
    log::log!(target: "shaleline", level, "{fields}");
}

/// Writes log lines to the standard error stream, as JSON.
///
/// # Errors
/// Fails if `level` is not a valid `flexi_logger` specification.
pub fn start_logging(level: &str) -> Result<()> {
    let logger = Logger::try_with_str(level).wrap_err("invalid log level")?;
    logger
        .format(format_line)
        .log_to_stderr()
        .start()
        .wrap_err("can't start logging")?;
    Ok(())
}

fn format_line(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level();
    if record.target() == "shaleline" {
        return write!(
            w,
            r#"{{"time":"{time}","level":"{level}","record":{}}}"#,
            record.args()
        );
    }
    let text = serde_json::Value::String(record.args().to_string());
    let target = record.target();
    write!(
        w,
        r#"{{"time":"{time}","level":"{level}","target":"{target}","text":{text}}}"#
    )
}
