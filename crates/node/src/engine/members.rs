//! Other hosts.

use std::{net, sync, time};

use yuccatide_steering::{lookup as steering_lookup, membership, steer};

use super::{control, engine, lookup, view};
use crate::platform;

/// Period in which the platform's list of hosts is read.
const LIST_PERIOD: time::Duration = time::Duration::from_secs(30);

/// Object that holds the platform's list of hosts.
const LIST_OBJECT: (&str, &str) = ("hosts", "live");

impl engine::Engine {
    /// Reads the platform's list of hosts until the task is dropped.
    pub async fn follow_hosts(self: sync::Arc<engine::Engine>) {
        let mut failures = 0;
        loop {
            let list = self.platform.get(LIST_OBJECT.0, LIST_OBJECT.1).await;
            self.metrics.platform_call("list");
            match list {
                Ok(object) => {
                    failures = 0;
                    self.on_list(object);
                    tokio::time::sleep(LIST_PERIOD).await;
                }
                Err(e) => {
                    log::debug!(error:% = e; "the platform gave no list of hosts");
                    tokio::time::sleep(self.platform.pause(failures)).await;
                    failures += 1;
                }
            }
        }
    }

    fn on_list(&self, object: Option<platform::Object>) {
        let Some(object) = object else {
            return;
        };
        let Ok(list) = serde_json::from_slice::<Vec<membership::ListedHost>>(&object.body) else {
            self.metrics.fault("malformed list of hosts");
            return;
        };
        let now = self.now();
        let actions = self.lock().membership.set_listed_hosts(list, now);
        self.carry_out_membership(actions);
    }

    /// Address of another host for hosts.
    pub(super) fn peer_address(&self, host: &str) -> Option<net::SocketAddr> {
        let view = self.view.load();
        view.members.get(host).map(|member| member.peer_address)
    }

    pub(super) fn carry_out_membership(&self, actions: Vec<membership::Action>) {
        for action in actions {
            match action {
                membership::Action::Send { to, message } => {
                    self.deliver(to, &control::Control::Membership(message));
                }
                membership::Action::Changed => self.update_members(),
                membership::Action::HigherVersion {
                    peer_address,
                    version,
                    ..
                } => {
                    let now = self.now();
                    let actions =
                        self.lock()
                            .follower
                            .on_higher_version(peer_address, version, now);
                    self.carry_out_propagation(actions);
                }
                membership::Action::Notice(notice) => self.note_membership(&notice),
            }
        }
    }

    fn note_membership(&self, notice: &membership::Notice) {
        match notice {
            membership::Notice::Superseded { host, incarnation } => {
                log::error!(host = host, incarnation = *incarnation;
                    "a newer process has this host's name or address; this one must stop");
            }
            membership::Notice::OtherDeployment(host) => {
                self.metrics.fault("other deployment");
                log::warn!(host = host; "a message of another deployment was refused");
            }
            notice => log::info!(notice:? = notice; "membership changed"),
        }
    }

    /// Brings the view, and what depends on the live hosts, up to date.
    pub(super) fn update_members(&self) {
        let now = self.now();
        let mut state = self.lock();
        let members = state.membership.members().collect::<Vec<_>>();
        let peers = members
            .iter()
            .filter(|m| m.state != membership::State::Dead)
            .map(lookup::members_peer)
            .collect::<Vec<_>>();
        let followed = state.follower.update_members(members.iter().cloned(), now);
        let mut keys = Vec::new();
        let mut shares = Vec::new();
        let configured = state.configured;
        if let Some(active) = state.active.as_mut().filter(|_| configured) {
            keys = active.dedup.set_members(&peers, now);
            shares = active.steer.set_members(&steered(&members), now);
            self.update_owned(&mut state, now);
        }
        self.publish(&state, members);
        drop(state);
        self.carry_out_propagation(followed);
        self.carry_out_dedup(keys);
        self.carry_out_steer(shares);
    }

    /// Publishes the view; the caller holds the lock, so that no older view replaces a newer one.
    fn publish(&self, state: &super::state::State, members: Vec<membership::Member>) {
        let doc = state.active.as_ref().map(|a| sync::Arc::clone(&a.doc));
        let witnesses = doc.as_ref().map(|doc| lookup::witnesses(doc, &members));
        let members = members.into_iter().map(|m| (m.host.clone(), m)).collect();
        let ready = state.ready && doc.is_some() && !state.membership.is_superseded();
        let silent = |dc: &str| state.membership.is_silent(dc);
        let serving = state.membership.members();
        let view = view::View {
            doc,
            table: sync::Arc::clone(&state.table),
            directory: steering_lookup::HostDirectory::new(serving, silent),
            members,
            witnesses: witnesses.unwrap_or_default(),
            ready,
        };
        self.view.store(sync::Arc::new(view));
    }
}

/// Hosts that requests may be sent to.
fn steered(members: &[membership::Member]) -> Vec<steer::Peer> {
    members
        .iter()
        .filter(|m| m.state != membership::State::Dead && m.attributes.ready)
        .map(|m| steer::Peer {
            host: m.host.clone(),
            data_centre: m.data_centre.clone(),
            leaving: m.state == membership::State::Leaving,
        })
        .collect()
}
