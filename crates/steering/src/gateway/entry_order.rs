//! Order of the entries of one backend server.  The store may do a write seconds after newer ones, and
//! may hold what a server wrote in an earlier incarnation.

use std::{collections, time};

use super::server;
use crate::model;

/// What an entry tells beside what is known of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryOrder {
    /// It is the server's latest word, as far as anyone can tell.
    Latest,
    /// It says that the server is ready, which was seen to leave, and it is not proven to be a later
    /// word of it.
    AfterDeparture,
    /// It is an earlier word of the server.
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
    let has_same_content = server::ServerEntry {
        sequence: known.sequence,
        ..entry.clone()
    } == *known;
    match known.state {
        server::ServerState::Draining if !is_later => EntryOrder::AfterDeparture,
        _ if is_earlier && is_missing => EntryOrder::AfterDeparture,
        _ if is_earlier && !has_same_content => EntryOrder::Outdated,
        _ => EntryOrder::Latest,
    }
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
