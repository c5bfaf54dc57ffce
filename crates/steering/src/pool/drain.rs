//! Time from which a draining backend server takes no new work.

use crate::{config, drain, model};

/// Time from which a backend server takes no new work because of a drain, if there is one.
///
/// The drain of a server without a set time begins at once.  A server that has to be empty by a set
/// time stops taking work earlier by the longest time that a request may take.  The same holds for
/// the servers of a draining data centre: traffic leaves it in capped steps, and until then its
/// servers take the traffic that has not been moved yet.
pub fn drain_start(doc: &config::Document, server: &str) -> Option<model::Time> {
    let data_centre = &doc.servers.get(server)?.data_centre;
    let target = config::DrainTarget::Server(server.to_string());
    let max_request_time = drain::max_request_time(doc, &target);
    doc.drains
        .values()
        .filter_map(|drain| match &drain.target {
            config::DrainTarget::Server(id) if id == server => {
                Some(drain.empty_by.unwrap_or_default())
            }
            config::DrainTarget::DataCentre(id) if id == data_centre => drain.empty_by,
            _ => None,
        })
        .map(|empty_by| empty_by.saturating_sub(max_request_time))
        .min()
}
