//! Order of the entries of one backend server.  The store may do a write seconds after newer ones, and
//! may hold what a server wrote in an earlier incarnation.

use std::{collections, time};

use super::server;
use crate::model;

/// How an entry compares with what is known of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryOrder {
    /// Nothing shows that the server has written a newer one.
    Latest,
    /// It says that the server is ready, which was seen to leave, and nothing shows that it was
    /// written after that.
    AfterDeparture,
    /// The server has written a newer one.
    Outdated,
}

/// Compares an entry with the one that is known of its server; `is_missing` tells whether that one
/// was deleted since.
pub(super) fn compare(
    entry: &server::ServerEntry,
    known: &server::ServerEntry,
    is_missing: bool,
) -> EntryOrder {
    if entry.incarnation != known.incarnation {
        return match entry.incarnation < known.incarnation {
            true => EntryOrder::Outdated,
            false => EntryOrder::Latest,
        };
    }
    // A server that has begun to leave does so until the end of its incarnation.
    if entry.state == server::ServerState::Draining {
        return EntryOrder::Latest;
    }
    let numbers = entry.sequence.zip(known.sequence);
    let is_later = numbers.is_some_and(|(new, old)| new > old);
    let is_earlier = numbers.is_some_and(|(new, old)| new < old);
    match known.state {
        server::ServerState::Draining if !is_later => EntryOrder::AfterDeparture,
        _ if is_earlier && is_missing => EntryOrder::AfterDeparture,
        _ if is_earlier && !has_same_content(entry, known) => EntryOrder::Outdated,
        _ => EntryOrder::Latest,
    }
}

/// Whether two entries differ in nothing but the number of the write.
fn has_same_content(entry: &server::ServerEntry, known: &server::ServerEntry) -> bool {
    let renumbered = server::ServerEntry {
        sequence: known.sequence,
        ..entry.clone()
    };
    renumbered == *known
}

/// Compares an entry with the incarnation in which its server was seen to leave.
pub(super) fn compare_with_departed(
    entry: &server::ServerEntry,
    departed: model::Incarnation,
) -> EntryOrder {
    let is_ready = entry.state == server::ServerState::Ready;
    match is_ready && entry.incarnation <= departed {
        true => EntryOrder::AfterDeparture,
        false => EntryOrder::Latest,
    }
}

/// Entries that are older than what is known of their servers.  A server that runs replaces an older
/// write by its next one, and the entry of one that does not is deleted: one that stands for longer
/// than it could without a renewal has been renewed, whatever its number says.
#[derive(Debug, Default)]
pub(super) struct OutdatedEntries {
    /// With the time since which each stands.
    entries: collections::HashMap<model::ServerId, (server::ServerEntry, model::Time)>,
}

impl OutdatedEntries {
    /// Adds the entry that the store has of a server.  The time of the first one of an incarnation goes on
    /// if it is read again, or replaced by a later write.
    pub(super) fn insert(&mut self, entry: server::ServerEntry, now: model::Time) {
        let before = self.entries.get(&entry.id);
        let since = before
            .filter(|(before, _)| {
                before.incarnation == entry.incarnation && before.sequence <= entry.sequence
            })
            .map_or(now, |(_, since)| *since);
        self.entries.insert(entry.id.clone(), (entry, since));
    }

    /// Drops the entry of a server, which the store no longer has.
    pub(super) fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Counts the time anew from `now`, up to which this host can't tell whether they were deleted.
    pub(super) fn restart(&mut self, now: model::Time) {
        for (_, since) in self.entries.values_mut() {
            *since = now;
        }
    }

    /// Takes out the entries that have stood for `least`, with the time since which they do.
    pub(super) fn take_lasting(
        &mut self,
        least: time::Duration,
        now: model::Time,
    ) -> Vec<(server::ServerEntry, model::Time)> {
        let lasting = self
            .entries
            .extract_if(|_, (_, since)| now >= *since + least);
        lasting.map(|(_, lasting)| lasting).collect()
    }
}
