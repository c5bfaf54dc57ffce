//! Data centres that must get no requests.

use std::collections;

use super::server_set;
use crate::model;

/// Data centres that operators have evacuated.  After the store has come back from an older copy,
/// what was known before goes before the copy until operators had time to write again.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// As the store has them.
    stored: collections::BTreeSet<model::DataCentreId>,
    /// Data centres of which the copy says otherwise: whether they were evacuated before.
    disputed: collections::BTreeMap<model::DataCentreId, bool>,
    disputed_until: model::Time,
}

impl Evacuations {
    /// Applies the complete list.
    pub fn replace(&mut self, listed: collections::BTreeSet<model::DataCentreId>) {
        let changed = self.stored.symmetric_difference(&listed);
        for data_centre in changed {
            self.disputed.remove(data_centre);
        }
        self.stored = listed;
    }

    /// Applies the complete list of a store that has come back from an older copy.
    pub fn replace_restored(
        &mut self,
        listed: collections::BTreeSet<model::DataCentreId>,
        now: model::Time,
    ) {
        let known = self.in_force(now);
        self.disputed = known
            .symmetric_difference(&listed)
            .map(|data_centre| (data_centre.clone(), known.contains(data_centre)))
            .collect();
        self.disputed_until = now + server_set::REREGISTRATION_GRACE;
        self.stored = listed;
    }

    /// Applies a change of one data centre.
    pub fn set(&mut self, data_centre: model::DataCentreId, is_evacuated: bool) {
        self.disputed.remove(&data_centre);
        match is_evacuated {
            true => self.stored.insert(data_centre),
            false => self.stored.remove(&data_centre),
        };
    }

    /// Data centres that must get no requests now.
    pub fn in_force(&self, now: model::Time) -> collections::BTreeSet<model::DataCentreId> {
        if now >= self.disputed_until {
            return self.stored.clone();
        }
        let undisputed = self
            .stored
            .iter()
            .filter(|data_centre| !self.disputed.contains_key(*data_centre));
        let evacuated = self.disputed.iter().filter(|(_, was)| **was);
        undisputed
            .chain(evacuated.map(|(data_centre, _)| data_centre))
            .cloned()
            .collect()
    }
}
