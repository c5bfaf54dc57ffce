//! Files that commands read.

use std::{fs, io, io::Read, path};

use serde_json::Value;
use yuccatide_steering::config;

use crate::error;

/// Text of a file, or of standard input for `-`.
pub fn text(file: &path::Path) -> Result<String, error::Error> {
    let mut text = String::new();
    let result = match file.to_str() {
        Some("-") => io::stdin().read_to_string(&mut text).map(|_| text),
        _ => fs::read_to_string(file),
    };
    result.map_err(|e| error::Error::Input(format!("{}: {e}", file.display())))
}

/// A merge patch.
pub fn merge(file: &path::Path) -> Result<Value, error::Error> {
    let value: Value = serde_json::from_str(&text(file)?)
        .map_err(|e| error::Error::Input(format!("{}: {e}", file.display())))?;
    match value.is_object() {
        true => Ok(value),
        false => {
            let message = format!("{}: a merge patch is a JSON object", file.display());
            Err(error::Error::Input(message))
        }
    }
}

/// A whole document, in which comments may stand.
pub fn document(file: &path::Path) -> Result<config::Document, error::Error> {
    config::Document::from_json(&text(file)?).map_err(|e| {
        let message = format!("{}: {}: {}", file.display(), e.path(), e.inner());
        error::Error::Input(message)
    })
}
