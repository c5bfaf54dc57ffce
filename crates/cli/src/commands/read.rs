//! Reads the configuration and its history.

use std::io::Write;

use yuccatide_steering::config;

use super::cx;
use crate::{error, table, time};

/// Longest excerpt of a patch in the table, in characters.
const EXCERPT_CHARS: usize = 60;

/// Prints the document in force, as JSON in either form of output.
pub async fn get(cx: &cx::Context, out: &mut impl Write) -> Result<(), error::Error> {
    let doc = cx.client()?.config().await?;
    cx.print(out, &doc, || cx::pretty(&doc) + "\n")
}

/// Prints the latest accepted patches.
pub async fn history(cx: &cx::Context, out: &mut impl Write) -> Result<(), error::Error> {
    let history = cx.client()?.history().await?;
    cx.print(out, &history, || {
        table::Table::new(["VERSION", "ACCEPTED", "AUTHOR", "ID", "CHANGE"])
            .with_rows(history.changes.iter().map(row))
            .render()
    })
}

fn row(change: &config::Change) -> [String; 5] {
    [
        change.version.to_string(),
        time::format(change.accepted_unix_ms / 1000),
        change.author.clone(),
        change.patch.id.clone(),
        excerpt(change.patch.merge.to_string()),
    ]
}

fn excerpt(text: String) -> String {
    match text.char_indices().nth(EXCERPT_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
