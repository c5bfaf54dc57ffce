//! Shares, grants and load.

use std::time;

use yuccatide_steering::{capacity, membership, model, steer};

use super::{control, engine, state};

/// Longest time between two lists of hosts for steering, which takes an old list for none.
const MEMBERS_PERIOD: time::Duration = time::Duration::from_secs(3);

impl engine::Engine {
    pub(super) fn carry_out_steer(&self, actions: Vec<steer::Action>) {
        for steer::Action::Send { to, message } in actions {
            self.deliver_to_host(&to, &control::Control::Steer(message));
        }
    }

    /// Does what is due for steering.
    pub(super) fn tick_steer(&self, now: model::Time) {
        let mut state = self.lock();
        if now < state.next_steer {
            return;
        }
        state.next_steer = now + steer::TICK_INTERVAL;
        let refresh = state.configured && now >= state.next_members;
        if refresh {
            state.next_members = now + MEMBERS_PERIOD;
        }
        let Some(active) = &mut state.active else {
            return;
        };
        active.steer.set_own_capacity(&capacities(active), now);
        let actions = active.steer.tick(now);
        let ready = active.steer.is_ready();
        self.update_owned(&mut state, now);
        drop(state);
        self.carry_out_steer(actions);
        self.set_steering_ready(ready);
        self.follow_drain(now);
        if refresh {
            self.update_members();
        }
    }

    /// Tells the pool which backend servers this host owns.
    pub(super) fn update_owned(&self, state: &mut state::State, now: model::Time) {
        let Some(active) = &mut state.active else {
            return;
        };
        let owned = active.steer.topology().owned_by(&self.me.host);
        let owned = owned.cloned().collect();
        if state.owned != owned {
            state.owned.clone_from(&owned);
            state.with_pool(|pool| pool.set_owned_servers(owned, now));
        }
    }

    /// Announces that the host takes requests, once its shares are known.
    fn set_steering_ready(&self, ready: bool) {
        let mut state = self.lock();
        if state.ready || !ready || !state.configured {
            return;
        }
        state.ready = true;
        let actions = state.membership.set_ready(true, self.now());
        drop(state);
        self.carry_out_membership(actions);
        self.update_members();
        log::info!("the host is ready");
    }

    /// Known hosts of a data centre that serve.
    pub fn serving(&self, data_centre: &str) -> Vec<membership::Member> {
        let view = self.view.load();
        let members = view.members.values();
        let near = members.filter(|m| m.data_centre == data_centre && m.serves());
        near.cloned().collect()
    }
}

/// Use of the owned backend servers by service.
fn capacities(active: &state::Active) -> steer::Capacities {
    let services = active.doc.services.keys();
    services
        .map(|service| {
            let pool = active.pool.capacity(service);
            let capacity = capacity::Capacity {
                slots: pool.usable_slots as u32,
                in_use: pool.in_use,
                queued: pool.queued.values().sum(),
            };
            (service.clone(), capacity)
        })
        .collect()
}
