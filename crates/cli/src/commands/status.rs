//! State of a deployment.

use std::io::Write;

use serde::Serialize;
use yuccatide_steering::admin;

use super::{cx, drain};
use crate::{error, table};

/// Prints the state of the deployment as the host sees it.
pub async fn status(cx: &cx::Context, out: &mut impl Write) -> Result<(), error::Error> {
    let status = cx.client()?.status().await?;
    cx.print(out, &status, || text(&status))
}

/// The tables of the status.
pub fn text(status: &admin::Status) -> String {
    [
        head(status),
        data_centres(status),
        hosts(status),
        servers(status),
        drain::drain_table(&status.drains),
    ]
    .join("\n")
}

fn head(status: &admin::Status) -> String {
    let control = &status.control;
    format!(
        "{} as {} sees it: version {}, platform {}\n\
         control: {:.2}% of a core, {:.1} MB, {:.1} KB/s, {:.2} platform calls/s\n",
        status.deployment,
        status.host,
        status.version,
        if status.platform_up { "up" } else { "down" },
        control.core_share * 100.0,
        control.resident_bytes as f64 / 1e6,
        control.bytes_per_second / 1e3,
        control.platform_calls_per_second,
    )
}

fn data_centres(status: &admin::Status) -> String {
    let row = |dc: &admin::DataCentreStatus| {
        [
            dc.name.clone(),
            dc.region.clone(),
            if dc.reachable { "yes" } else { "no" }.to_string(),
            dc.slots.to_string(),
            dc.in_use.to_string(),
            headroom(dc.slots, dc.in_use),
        ]
    };
    let header = [
        "DATA CENTRE",
        "REGION",
        "REACHABLE",
        "SLOTS",
        "IN USE",
        "HEADROOM",
    ];
    table::Table::new(header)
        .with_rows(status.data_centres.iter().map(row))
        .render()
}

fn hosts(status: &admin::Status) -> String {
    let row = |host: &admin::HostStatus| {
        [
            host.name.clone(),
            host.data_centre.clone(),
            host.address.to_string(),
            name_of(&host.state),
            host.version.to_string(),
        ]
    };
    table::Table::new(["HOST", "DATA CENTRE", "ADDRESS", "STATE", "VERSION"])
        .with_rows(status.hosts.iter().map(row))
        .render()
}

fn servers(status: &admin::Status) -> String {
    let row = |server: &admin::ServerStatus| {
        [
            server.name.clone(),
            server.service.clone(),
            server.data_centre.clone(),
            server.owner.clone().unwrap_or_else(|| "-".to_string()),
            name_of(&server.state),
            server.slots.to_string(),
            server.in_use.to_string(),
            headroom(server.slots, server.in_use),
        ]
    };
    let header = [
        "SERVER",
        "SERVICE",
        "DATA CENTRE",
        "OWNER",
        "STATE",
        "SLOTS",
        "IN USE",
        "HEADROOM",
    ];
    table::Table::new(header)
        .with_rows(status.servers.iter().map(row))
        .render()
}

fn headroom(slots: u32, in_use: u32) -> String {
    let free = slots.saturating_sub(in_use);
    format!("{:.0}%", 100.0 * f64::from(free) / f64::from(slots.max(1)))
}

/// Name of a state as the JSON form writes it.
fn name_of(state: &impl Serialize) -> String {
    let name = serde_json::to_value(state).ok();
    let name = name.as_ref().and_then(|v| v.as_str());
    name.unwrap_or("unknown").to_string()
}
