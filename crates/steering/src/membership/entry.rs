//! Entry of the member table.

use xxhash_rust::xxh3;

use super::{member, message};
use crate::model;

/// Another host, with what it announced and what was observed of it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Latest record that the host announced.
    pub record: member::Record,
    /// Observed liveness of the host.
    pub status: member::Status,
    /// Local time of the last change of record or status.
    pub changed_at: model::Time,
    /// Latest configuration version that the host reported; 0 if none.
    pub config_version: model::Version,
    /// Position of the host on the hash ring that orders probes.
    pub ring: u64,
}

impl Entry {
    pub(super) fn is_live(&self) -> bool {
        self.status != member::Status::Dead
    }

    pub(super) fn state(&self) -> member::State {
        match self.status {
            member::Status::Dead => member::State::Dead,
            _ if self.record.attributes.leaving => member::State::Leaving,
            member::Status::Suspect => member::State::Suspect,
            member::Status::Alive => member::State::Alive,
        }
    }

    pub(super) fn to_member(&self) -> member::Member {
        member::Member {
            host: self.record.host.clone(),
            incarnation: self.record.incarnation,
            data_centre: self.record.data_centre.clone(),
            address: self.record.address,
            peer_address: self.record.peer_address,
            state: self.state(),
            config_version: self.config_version,
            attributes: self.record.attributes,
        }
    }

    /// Update that announces the entry to other hosts.
    pub(super) fn to_update(&self) -> message::Update {
        match self.status {
            member::Status::Alive => message::Update::Record(self.record.clone()),
            status => message::Update::Verdict {
                host: self.record.host.clone(),
                incarnation: self.record.incarnation,
                revision: self.record.revision,
                status,
            },
        }
    }
}

/// Position of a host on the hash ring that orders probes.
pub(super) fn ring_position(host: &str) -> u64 {
    xxh3::xxh3_64(host.as_bytes())
}
