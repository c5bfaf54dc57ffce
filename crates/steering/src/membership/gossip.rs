//! Queue of updates to send to other hosts.

use std::collections;

use super::{member, message, timing};
use crate::model;

/// Estimated size of a message without updates.
const MESSAGE_BYTES: f64 = 300.0;
/// Estimated size of one update.
const UPDATE_BYTES: f64 = 70.0;

/// What an update is about. A later update replaces an earlier one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Host(model::HostId),
    DataCentre(model::DataCentreId),
}

#[derive(Clone, Debug)]
struct PendingUpdate {
    update: message::Update,
    sends: u32,
    remote: bool,
}

/// Queue of updates with the number of hosts that each was sent to.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    pending: collections::BTreeMap<Subject, PendingUpdate>,
    next_round: model::Time,
}

impl Gossip {
    /// Adds an update. Updates about other data centres (`remote`) are sent after local ones.
    pub(super) fn push(&mut self, update: message::Update, remote: bool) {
        let pending = PendingUpdate {
            sends: 0,
            remote,
            update,
        };
        self.pending.insert(subject(&pending.update), pending);
    }

    /// Whether updates are queued and the next gossip round may start.
    pub(super) fn is_due(&self, now: model::Time) -> bool {
        !self.pending.is_empty() && now >= self.next_round
    }

    /// Returns the most urgent updates for a message to `receivers` hosts, and counts the sends.
    pub(super) fn take(&mut self, receivers: u32) -> Vec<message::Update> {
        let mut order = self.pending.iter().collect::<Vec<_>>();
        if order.len() > timing::UPDATES_PER_MESSAGE {
            order
                .select_nth_unstable_by_key(timing::UPDATES_PER_MESSAGE, |(_, p)| send_priority(p));
            order.truncate(timing::UPDATES_PER_MESSAGE);
        }
        order.sort_by_key(|(_, p)| send_priority(p));
        let order = order.into_iter().map(|(subject, _)| subject.clone());
        let order = order.collect::<Vec<_>>();
        order
            .into_iter()
            .filter_map(|subject| self.take_one(subject, receivers))
            .collect()
    }

    /// Schedules the next round so that gossip stays within its bytes per second.
    pub(super) fn schedule(&mut self, updates: usize, receivers: usize, now: model::Time) {
        let bytes = receivers as f64 * (MESSAGE_BYTES + UPDATE_BYTES * updates as f64);
        let pause = model::Time::from_secs_f64(bytes / timing::GOSSIP_BYTES_PER_SECOND);
        self.next_round = now + pause.max(timing::GOSSIP_INTERVAL);
    }

    fn take_one(&mut self, subject: Subject, receivers: u32) -> Option<message::Update> {
        let pending = self.pending.get_mut(&subject)?;
        pending.sends += receivers;
        let update = pending.update.clone();
        if pending.sends >= timing::UPDATE_SEND_COUNT {
            self.pending.remove(&subject);
        }
        Some(update)
    }
}

fn subject(update: &message::Update) -> Subject {
    match update {
        message::Update::Record(record) => Subject::Host(record.host.clone()),
        message::Update::Verdict { host, .. } => Subject::Host(host.clone()),
        message::Update::Reach { data_centre, .. } => Subject::DataCentre(data_centre.clone()),
    }
}

/// Sort key, smallest first: local updates, then suspicions and deaths, then the fewest sends.
fn send_priority(pending: &PendingUpdate) -> (bool, bool, u32) {
    let verdict = matches!(
        pending.update,
        message::Update::Verdict {
            status: member::Status::Dead | member::Status::Suspect,
            ..
        }
    );
    (pending.remote, !verdict, pending.sends)
}
