//! Writes the results of commands.

use std::io::{ErrorKind, Result, Write};

/// Writes `text`. A reader that has closed its end, such as `head`, wants no more, which is no
/// failure of the command.
///
/// # Errors
/// If it can't be written for any other reason.
pub(crate) fn write(out: &mut dyn Write, text: &str) -> Result<()> {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written,
    }
}
