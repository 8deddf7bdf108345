//! The command that checks a configuration before it is sent to the platform's store.

use eyre::{bail, eyre, Result, WrapErr};
use shaleline_gateway::{check_table, compare_tables, Codec, Severity, Table};
use shaleline_platform::PlatformCodec;

fn read(path: &str) -> Result<Table> {
    let bytes = std::fs::read(path).wrap_err_with(|| format!("can't read {path}"))?;
    let table = PlatformCodec.table(&bytes);
    table.map_err(|e| eyre!("{path} is not a valid configuration: {}", e.0))
}

/// Returns what is found in a configuration, and what it changes against the one in force.
///
/// # Errors
/// Fails if a file can't be read or decoded, and with the findings as its text if one of them is
/// an error, so that scripts stop before they send it.
pub fn run(new: &str, in_force: Option<&str>) -> Result<String> {
    let table = read(new)?;
    let found = check_table(&table);
    let mut lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    let mut failed = found.iter().any(|f| f.severity == Severity::Error);
    if let Some(old) = in_force {
        let old = read(old)?;
        failed |= table.version <= old.version;
        lines.extend(compare_tables(&old, &table));
    }
    if failed {
        bail!("{new} should not be sent\n{}", lines.join("\n"));
    }
    if lines.is_empty() {
        lines.push("nothing found".to_owned());
    }
    Ok(lines.join("\n"))
}
