//! Files that operators pass to commands.

use eyre::{Result, WrapErr};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads a file as JSON if its name ends in `.json`, and as TOML otherwise.
pub fn read<T: DeserializeOwned>(path: &str) -> Result<T> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {path}"))?;
    let json = Path::new(path).extension().is_some_and(|e| e == "json");
    if json {
        return serde_json::from_str(&text).wrap_err_with(|| path.to_owned());
    }
    toml::from_str(&text).wrap_err_with(|| path.to_owned())
}
