//! When a backend server stops taking new work.

use crate::{config, drain, model};

/// Time from which a backend server takes no new work because of a drain, if there is one.
///
/// The drain of a server without a time begins at once.  One that has to be empty by some time
/// begins as long before as the longest request takes.  Traffic leaves a data centre in capped
/// steps, so its servers take what is not yet moved until only that time is left.
pub fn drain_start(doc: &config::Document, server: &str) -> Option<model::Time> {
    let data_centre = &doc.servers.get(server)?.data_centre;
    let own = config::DrainTarget::Server(server.to_string());
    let lead = drain::max_request_time(doc, &own);
    doc.drains
        .values()
        .filter_map(|drain| match &drain.target {
            config::DrainTarget::Server(id) if id == server => {
                Some(drain.empty_by.unwrap_or_default())
            }
            config::DrainTarget::DataCentre(id) if id == data_centre => drain.empty_by,
            _ => None,
        })
        .map(|empty_by| empty_by.saturating_sub(lead))
        .min()
}
