//! The table of client blocks.

use std::io::Write;

use serde_json::json;
use yuccatide_steering::lookup;

use super::{cx, input, patch};
use crate::{error, flags};

/// Replaces the table: stores the chunks that are not in force, then names all of them at once.
pub async fn load(
    cx: &cx::Context,
    flags: flags::Load,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let blocks = parse(&input::text(&flags.file)?)?;
    let chunks = lookup::encode(blocks).map_err(|e| error::Error::Input(e.to_string()))?;
    let client = cx.client_with_token()?;
    let stored = client.config().await?.blocks;
    for chunk in chunks.iter().filter(|c| !stored.contains(&c.entry)) {
        client
            .store_chunk(&chunk.entry.sha256, &chunk.bytes)
            .await?;
    }
    let entries = chunks.iter().map(|c| &c.entry).collect::<Vec<_>>();
    let merge = json!({"blocks": entries});
    let version = patch::submit(&client, flags.base, merge).await?;
    patch::print_version(cx, version, out)
}

/// Reads one block and its site from each line; `#` begins a comment.
fn parse(text: &str) -> Result<Vec<lookup::Block>, error::Error> {
    let lines = text.lines().enumerate();
    let lines = lines.map(|(i, line)| (i + 1, line.split('#').next().unwrap_or_default().trim()));
    lines
        .filter(|(_, line)| !line.is_empty())
        .map(|(number, line)| block(line).ok_or_else(|| malformed(number, line)))
        .collect()
}

fn block(line: &str) -> Option<lookup::Block> {
    let (net, site) = line.split_once(char::is_whitespace)?;
    Some(lookup::Block {
        net: net.parse().ok()?,
        site: site.trim().to_string(),
    })
}

fn malformed(number: usize, line: &str) -> error::Error {
    let message = format!("line {number}: {line:?} is no block and site, as 192.0.2.0/24 rosario");
    error::Error::Input(message)
}
