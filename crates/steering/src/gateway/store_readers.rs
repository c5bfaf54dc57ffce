//! Which hosts of a data centre read the platform's store for the others.

use crate::model;

/// Hosts of a data centre that read the store.  With two, the loss of one stops nobody.
const READER_COUNT: usize = 2;

/// Number of live hosts up to which all of a data centre read the store.
const MAX_HOSTS_READING_ALONE: usize = 3;

/// Returns the hosts that `own` reads from, preferred first; none if it reads the store itself.
/// `live` are the live hosts of its data centre, including itself, in any order.
///
/// The hosts with the smallest names read the store, so that hosts which know the same live hosts
/// choose the same readers without agreement.  Where they differ, one host more reads it.
pub fn sources<'a>(own: &str, live: impl IntoIterator<Item = &'a str>) -> Vec<model::HostId> {
    let mut live: Vec<&str> = live.into_iter().collect();
    live.sort_unstable();
    live.dedup();
    if live.len() <= MAX_HOSTS_READING_ALONE || live.iter().take(READER_COUNT).any(|h| *h == own) {
        return Vec::new();
    }
    let position = live.binary_search(&own).unwrap_or(0);
    live.truncate(READER_COUNT);
    // Neighbours in the order of names prefer different readers.
    live.rotate_left(position % READER_COUNT);
    live.into_iter().map(str::to_string).collect()
}
