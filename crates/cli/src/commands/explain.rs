//! Why a request goes where it goes.

use std::io::Write;

use yuccatide_steering::admin;

use super::cx;
use crate::{error, flags, table};

/// Prints the way of a request.
pub async fn explain(
    cx: &cx::Context,
    flags: flags::Explain,
    out: &mut impl Write,
) -> Result<(), error::Error> {
    let explain = cx.client()?.explain(flags.client, &flags.work).await?;
    cx.print(out, &explain, || text(&explain))
}

fn text(explain: &admin::Explain) -> String {
    let head = format!(
        "{} from {} (site {}), by version {}\nentry hosts: {}\n",
        explain.work,
        explain.client,
        explain.site,
        explain.version,
        explain.hosts.join(", ")
    );
    let candidates = table::Table::new(["DATA CENTRE", "SHARE", "TARGET", "REASON"])
        .with_rows(explain.candidates.iter().map(row))
        .render();
    let steps = explain
        .steps
        .iter()
        .enumerate()
        .map(|(i, step)| format!("{}. {}: {}\n", i + 1, step.stage, step.decision))
        .collect::<String>();
    format!("{head}\n{candidates}\n{steps}")
}

fn row(candidate: &admin::Candidate) -> [String; 4] {
    [
        candidate.data_centre.clone(),
        percent(candidate.share),
        percent(candidate.target),
        candidate.reason.clone(),
    ]
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
