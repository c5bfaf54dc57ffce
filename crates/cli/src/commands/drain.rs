//! Planned stops.

use std::io::Write;

use serde_json::json;
use yuccatide_steering::{admin, config};

use super::{cx, patch};
use crate::{error, flags, table, time};

/// Plans a stop.
pub async fn start(
    cx: &cx::Context,
    flags: flags::Start,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let empty_by = flags
        .empty_by
        .map(|text| time::parse(&text, cx.now))
        .transpose()?;
    let name = drain_name(flags.kind, &flags.name);
    let drain = config::Drain {
        target: flags.kind.target(flags.name),
        empty_by,
    };
    let client = cx.client_with_token()?;
    let base = client.config().await?.version;
    let merge = json!({"drains": {name: drain}});
    let version = patch::submit(&client, base, merge).await?;
    patch::print_version(cx, version, out)
}

/// Ends a planned stop, under whichever name it was planned.
pub async fn cancel(
    cx: &cx::Context,
    flags: flags::Cancel,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let target = flags.kind.target(flags.name.clone());
    let client = cx.client_with_token()?;
    let doc = client.config().await?;
    let removed = doc
        .drains
        .iter()
        .filter(|(_, drain)| drain.target == target)
        .map(|(name, _)| (name.clone(), serde_json::Value::Null))
        .collect::<serde_json::Map<_, _>>();
    if removed.is_empty() {
        let message = format!(
            "no stop of {} {} is planned",
            flags.kind.as_str(),
            flags.name
        );
        return Err(error::Error::Input(message));
    }
    let merge = json!({"drains": removed});
    let version = patch::submit(&client, doc.version, merge).await?;
    patch::print_version(cx, version, out)
}

/// Prints planned stops.
pub async fn list(cx: &cx::Context, out: &mut impl Write) -> Result<(), error::Error> {
    let drains = cx.client()?.status().await?.drains;
    cx.print(out, &drains, || drain_table(&drains))
}

/// Table of planned stops.
pub fn drain_table(drains: &[admin::DrainStatus]) -> String {
    if drains.is_empty() {
        return "no stop is planned\n".to_string();
    }
    table::Table::new(["DRAIN", "EMPTY BY", "NEW WORK", "IN PROGRESS"])
        .with_rows(drains.iter().map(row))
        .render()
}

fn row(drain: &admin::DrainStatus) -> [String; 4] {
    let empty_by = drain.empty_by_unix_s.map(time::format);
    [
        drain.name.clone(),
        empty_by.unwrap_or_else(|| "now".to_string()),
        if drain.closed { "none" } else { "still" }.to_string(),
        drain.in_progress.to_string(),
    ]
}

fn drain_name(kind: flags::TargetKind, name: &str) -> String {
    format!("{}-{name}", kind.as_str())
}
