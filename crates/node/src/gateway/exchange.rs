//! Messages between hosts, and the hosts that this one reads the store from.

use std::net;

use yuccatide_steering::{gateway as decisions, model};

use super::{gateway, report, state};

impl gateway::Gateway {
    /// Whether a request that crashes backend servers is to be reported to other data centres at once.
    pub(super) fn take_urgency(&self) -> bool {
        self.lock().crash_book.take_urgency()
    }

    /// Messages to send to other hosts now.
    pub fn outgoing_messages(&self, include_summary: bool) -> Vec<decisions::Outgoing> {
        let now = self.clock.now();
        let mut state = self.lock();
        let introduction = state.members.introduction_to_send(self.started, now);
        let in_flight = state.dispatcher.in_flight_by_server();
        let contacts = state.members.contacts_to_send(now);
        let (store, store_checks) = self.store_state.progress();
        let report = self
            .store_state
            .take_report()
            .then(|| decisions::Outgoing {
                to: state.members.store_report_recipients(now),
                message: decisions::Message::StoreReport {
                    progress: store.clone(),
                    checks: store_checks.clone(),
                },
            })
            .filter(|report| !report.to.is_empty());
        let heartbeat = decisions::Heartbeat {
            member: self.settings.member.clone(),
            is_ready: self.is_ready_in(&state),
            in_flight,
            loads: state.demand.loads(),
            blocks: if include_summary {
                state.demand.client_blocks()
            } else {
                Vec::new()
            },
            shares: if include_summary {
                state.lookup_balancer.settled_shares(now)
            } else {
                Vec::new()
            },
            store,
            store_checks,
            version: state.route_table.version(),
            limits: state.dispatcher.limits().news(now),
            leaving: state.dispatcher.leaving_news(now),
            crashes: state.crash_book.reports(now),
            contacts,
        };
        let summary = include_summary
            .then(|| state.members.summary_to_send(&heartbeat, now))
            .flatten();
        let heartbeats = decisions::Outgoing {
            to: state.members.heartbeat_recipients(now),
            message: decisions::Message::Heartbeat(heartbeat),
        };
        [heartbeats]
            .into_iter()
            .chain(summary)
            .chain(introduction)
            .chain(report)
            .collect()
    }

    /// Applies a message from another host and returns the message to forward, if any.
    pub fn handle_message(&self, mut message: decisions::Message) -> Option<decisions::Outgoing> {
        report::unusable_parts(self, message.drop_unusable());
        let message = match message {
            decisions::Message::Quota(message) => return self.receive_quota(message),
            message => message,
        };
        let now = self.clock.now();
        let mut state = self.lock();
        match &message {
            decisions::Message::Heartbeat(h) => {
                let is_local = h.member.data_centre == self.own_data_centre;
                self.adopt_store_progress(&mut state, &h.store, &h.store_checks, is_local, now);
                self.adopt_shared_state(&mut state, &h.blocks, &h.shares, now);
                state.adopt_signals(&h.limits, &h.leaving, now);
                state.adopt_crashes(&h.crashes, now);
            }
            decisions::Message::Summary { summary: s, .. } => {
                let checks = decisions::StoreChecks::default();
                self.adopt_store_progress(&mut state, &s.store, &checks, false, now);
                self.adopt_shared_state(&mut state, &s.blocks, &s.shares, now);
                state.adopt_signals(&s.limits, &s.leaving, now);
                state.adopt_crashes(&s.crashes, now);
            }
            decisions::Message::StoreReport { progress, checks } => {
                self.adopt_store_progress(&mut state, progress, checks, false, now);
            }
            decisions::Message::Introduction(_)
            | decisions::Message::Contacts(_)
            | decisions::Message::Quota(_) => {}
        }
        if let decisions::Message::Heartbeat(heartbeat) = &message
            && heartbeat.member.data_centre == self.own_data_centre
            && heartbeat.member.host != self.settings.member.host
        {
            state
                .dispatcher
                .remote_in_flight
                .update(&heartbeat.member.host, &heartbeat.in_flight);
        }
        state.members.receive(message, now)
    }

    /// Takes over how far the store has come, as another host reports it.
    fn adopt_store_progress(
        &self,
        state: &mut state::State,
        progress: &decisions::StoreProgress,
        checks: &decisions::StoreChecks,
        is_local: bool,
        now: model::Time,
    ) {
        if self.store_state.adopt(progress, checks, is_local) {
            state.dispatcher.servers.record_revision_news(now);
        }
    }

    /// Takes over what a message reports besides the state of its sender.
    fn adopt_shared_state(
        &self,
        state: &mut state::State,
        blocks: &[(net::IpAddr, model::DataCentreId)],
        shares: &[decisions::LookupShares],
        now: model::Time,
    ) {
        state
            .lookup_balancer
            .adopt_shares(shares, &self.settings.regions, now);
        for (block, data_centre) in blocks {
            state.demand.record_block(*block, data_centre);
        }
    }

    /// Newest change of a kind that a host of the own data centre has read itself.
    pub fn position_of(
        &self,
        peers: net::SocketAddr,
        kind: &str,
    ) -> Option<decisions::StoreRevision> {
        let now = self.clock.now();
        self.lock().members.position_of(peers, kind, now)
    }

    /// Addresses of the hosts that this one reads the store from, preferred first; none if it
    /// reads the store itself.
    pub fn store_sources(&self) -> Vec<net::SocketAddr> {
        let now = self.clock.now();
        self.lock().members.store_sources(now)
    }

    /// Address of a host that has a newer configuration in force than this one.
    pub fn newer_policy_source(&self) -> Option<net::SocketAddr> {
        let now = self.clock.now();
        let state = self.lock();
        let (version, address) = state.members.newest_version(now)?;
        (Some(version) > state.route_table.version()).then_some(address)
    }
}
