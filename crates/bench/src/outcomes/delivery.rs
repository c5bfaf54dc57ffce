//! What travels between hosts and to the backend.

use std::time;

use rand::Rng;
use yuccatide_steering::{dedup, matching, model};

use super::{
    backend,
    event::{Event, Input, Origin, ProcessId, Request},
    fault, network, process,
    world::{self, World},
};

impl World {
    pub(super) fn latency(&self, a: &str, b: &str) -> time::Duration {
        network::latency(&self.doc, &self.homes[a], &self.homes[b])
    }

    pub(super) fn message(&mut self, from: &ProcessId, to: model::HostId, message: dedup::Message) {
        if !self.network.reaches(&from.host, &to) {
            return;
        }
        let latency = self.latency(&from.host, &to);
        for delay in self.network.delays(latency, &mut self.rng) {
            let input = Input::Message(from.host.clone(), message.clone());
            self.after(delay, Event::ToHost(to.clone(), input));
        }
    }

    pub(super) fn forward(
        &mut self,
        from: &ProcessId,
        connection: matching::ConnectionId,
        to: model::HostId,
        request: Request,
    ) {
        let latency = self.latency(&from.host, &to);
        let delays = match self.network.reaches(&from.host, &to) {
            true => self.network.delays(latency, &mut self.rng),
            false => Vec::new(),
        };
        if delays.is_empty() {
            self.break_forward(from.clone(), connection);
        }
        for delay in delays {
            let origin = Origin::Peer(from.clone(), connection);
            let input = Input::Request(request.clone(), origin);
            self.after(delay, Event::ToHost(to.clone(), input));
        }
    }

    /// The host that forwarded a request learns late that the connection broke, or not at all.
    pub(super) fn break_forward(&mut self, from: ProcessId, connection: matching::ConnectionId) {
        if self.rng.random_bool(0.7) {
            let wait = self.rng.random_range(1..2000);
            let input = Input::ForwardBroken(connection);
            let delay = time::Duration::from_millis(wait);
            self.after(delay, Event::ToProcess(from, input));
        }
    }

    pub(super) fn reply(
        &mut self,
        from: &ProcessId,
        id: model::RequestId,
        origin: Origin,
        answer: dedup::Response,
    ) {
        let (peer, connection) = match origin {
            Origin::Caller => {
                let delay = network::jittered(self.doc.latency.to_clients, &mut self.rng);
                return self.after(delay, Event::Answered(id, answer, from.clone()));
            }
            Origin::Peer(peer, connection) => (peer, connection),
        };
        let latency = self.latency(&from.host, &peer.host);
        let delays = match self.network.reaches(&from.host, &peer.host) {
            true => self.network.delays(latency, &mut self.rng),
            false => Vec::new(),
        };
        if delays.is_empty() {
            self.break_forward(peer.clone(), connection);
        }
        let announced = process::announced_bytes(&answer);
        for delay in delays {
            let whole = matching::ReceivedResponse {
                connection,
                attempt: Some(matching::Attempt { id, number: 1 }),
                announced_bytes: Some(announced),
                received_bytes: announced,
                body_ended: true,
            };
            let arrival = self.damaged(whole);
            let input = Input::Forwarded(arrival, answer.clone());
            self.after(delay, Event::ToProcess(peer.clone(), input));
        }
    }

    /// An answer between hosts as it arrives: cut short or on another connection now and then.
    pub(super) fn damaged(
        &mut self,
        whole: matching::ReceivedResponse,
    ) -> matching::ReceivedResponse {
        let faulty = self.scenario.has(fault::Fault::Network);
        if !faulty || !self.rng.random_bool(0.04) {
            return whole;
        }
        match self.rng.random_range(0..3) {
            0 => matching::ReceivedResponse {
                received_bytes: whole.received_bytes / 2,
                ..whole
            },
            1 => matching::ReceivedResponse {
                received_bytes: whole.received_bytes / 2,
                announced_bytes: None,
                body_ended: false,
                ..whole
            },
            _ => matching::ReceivedResponse {
                connection: whole.connection.saturating_sub(1),
                ..whole
            },
        }
    }

    pub(super) fn reach_backend(&mut self, arrival: backend::Arrival) {
        let faulty = self.scenario.has(fault::Fault::Backend);
        let behaviour = match faulty {
            true => backend::Behaviour::pick(&mut self.rng),
            false => backend::Behaviour::Good,
        };
        let back = network::jittered(world::BACKEND_LATENCY, &mut self.rng);
        let refusal = match behaviour {
            backend::Behaviour::Refuse => Some(backend::Reply::Refused),
            backend::Behaviour::Shed => Some(backend::Reply::Shed),
            _ => None,
        };
        let answer = |bytes: u64| matching::ReceivedResponse {
            connection: arrival.connection,
            attempt: Some(arrival.attempt),
            announced_bytes: Some(bytes),
            received_bytes: bytes,
            body_ended: true,
        };
        if let Some(reply) = refusal {
            let input = Input::Answer(answer(0), reply);
            return self.after(back, Event::ToProcess(arrival.from, input));
        }
        let mut rng = world::operation_rng(self.seed ^ u64::MAX, arrival.operation);
        let took = back + self.backend.run(&arrival, &mut rng);
        let whole = answer(process::whole_bytes());
        let reply = backend::Reply::Ran(arrival.operation);
        for (delay, input) in behaviour.answers(whole, reply, took) {
            self.after(delay, Event::ToProcess(arrival.from.clone(), input));
        }
    }
}
