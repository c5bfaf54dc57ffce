//! Merging of records and observations into the member table.

use super::{entry, member, message, state};
use crate::model;

impl state::Membership {
    /// Merges an update and queues it for other hosts if it changed the table.
    pub(super) fn apply(&mut self, update: message::Update, now: model::Time) {
        match update {
            message::Update::Record(record) if record.host == self.identity.host => {
                self.apply_own(record.incarnation, record.revision, false, now);
            }
            message::Update::Record(record) => self.apply_record(record, now),
            message::Update::Verdict {
                host,
                incarnation,
                revision,
                status,
            } if host == self.identity.host => {
                let contradicts = status != member::Status::Alive;
                self.apply_own(incarnation, revision, contradicts, now);
            }
            message::Update::Verdict {
                host,
                incarnation,
                revision,
                status,
            } => self.apply_verdict(&host, (incarnation, revision), status, now),
            message::Update::Reach {
                data_centre,
                counter,
                silent,
            } => self.apply_reach(data_centre, counter, silent),
        }
    }

    /// Handles updates about this host: refutes a suspicion or death, or stops in favour of a newer
    /// process.
    fn apply_own(
        &mut self,
        incarnation: model::Incarnation,
        revision: u32,
        contradicts: bool,
        now: model::Time,
    ) {
        if incarnation > self.identity.incarnation {
            self.supersede(self.identity.host.clone(), incarnation);
        }
        if incarnation != self.identity.incarnation || self.superseded {
            return;
        }
        let outdated = revision > self.record.revision;
        if outdated || (contradicts && revision == self.record.revision) {
            self.republish(revision.saturating_add(1), now);
            self.notice(state::Notice::Refuted);
        }
    }

    fn supersede(&mut self, host: model::HostId, incarnation: model::Incarnation) {
        if !self.superseded {
            self.superseded = true;
            self.members_changed = true;
            self.notice(state::Notice::Superseded { host, incarnation });
        }
    }

    fn apply_record(&mut self, record: member::Record, now: model::Time) {
        let newer = self.entries.get(&record.host).is_none_or(|e| {
            (record.incarnation, record.revision) > (e.record.incarnation, e.record.revision)
        });
        if !newer || self.loses_address(&record, now) {
            return;
        }
        let host = record.host.clone();
        let config_version = self
            .entries
            .get(&host)
            .filter(|e| e.record.incarnation == record.incarnation)
            .map_or(0, |e| e.config_version);
        let entry = entry::Entry {
            ring: entry::ring_position(&host),
            record,
            status: member::Status::Alive,
            changed_at: now,
            config_version,
        };
        self.entries.insert(host.clone(), entry);
        self.enqueue_update(&host, now);
    }

    /// Resolves a conflict of two hosts over an address: the larger incarnation wins. Returns
    /// whether the record's host lost.
    fn loses_address(&mut self, record: &member::Record, now: model::Time) -> bool {
        if record.peer_address == self.identity.peer_address {
            let wins = record.incarnation > self.identity.incarnation;
            if wins {
                self.supersede(record.host.clone(), record.incarnation);
            } else {
                self.notice(state::Notice::AddressTaken {
                    host: record.host.clone(),
                    by: self.identity.host.clone(),
                });
            }
            return !wins;
        }
        let holder = self.entries.values().find(|e| {
            e.is_live()
                && e.record.peer_address == record.peer_address
                && e.record.host != record.host
        });
        let Some(holder) = holder else {
            return false;
        };
        let holder = holder.record.clone();
        if holder.incarnation > record.incarnation {
            return true;
        }
        self.notice(state::Notice::AddressTaken {
            host: holder.host.clone(),
            by: record.host.clone(),
        });
        let observed = (holder.incarnation, holder.revision);
        self.apply_verdict(&holder.host, observed, member::Status::Dead, now);
        false
    }

    pub(super) fn apply_verdict(
        &mut self,
        host: &str,
        observed: (model::Incarnation, u32),
        status: member::Status,
        now: model::Time,
    ) {
        let own = self.identity.data_centre.clone();
        let Some(entry) = self.entries.get_mut(host) else {
            return;
        };
        if status == member::Status::Suspect && entry.record.data_centre != own {
            return;
        }
        let known = (entry.record.incarnation, entry.record.revision);
        let later = observed > known && status == member::Status::Dead;
        if !later && (observed != known || status <= entry.status) {
            return;
        }
        (entry.record.incarnation, entry.record.revision) = observed;
        entry.status = status;
        entry.changed_at = now;
        if status == member::Status::Suspect {
            self.suspects.insert(host.to_string());
        }
        self.enqueue_update(host, now);
        if status == member::Status::Dead {
            self.notice(state::Notice::Died(host.to_string()));
        }
    }

    pub(super) fn apply_reach(
        &mut self,
        data_centre: model::DataCentreId,
        counter: u64,
        silent: bool,
    ) {
        let reach = self.reach.entry(data_centre.clone()).or_default();
        if (counter, !silent) <= (reach.counter, !reach.silent) {
            return;
        }
        if reach.silent != silent {
            let notice = match silent {
                true => state::Notice::DataCentreSilent(data_centre.clone()),
                false => state::Notice::DataCentreHeard(data_centre.clone()),
            };
            self.actions.push(state::Action::Notice(notice));
            self.members_changed = true;
        }
        *reach = state::Reach { counter, silent };
        let update = message::Update::Reach {
            data_centre,
            counter,
            silent,
        };
        self.gossip.push(update, false);
    }

    /// Queues the current state of a host for other hosts.
    fn enqueue_update(&mut self, host: &str, now: model::Time) {
        let entry = &self.entries[host];
        let remote = entry.record.data_centre != self.identity.data_centre;
        let update = entry.to_update();
        if !remote && entry.status != member::Status::Suspect {
            self.relay.record_update(update.clone(), now);
        }
        self.gossip.push(update, remote);
        self.mark_changed();
    }
}
