//! Callers, their look-ups and their repetitions.

use rand::{Rng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use yuccatide_steering::{dedup, model};

use super::{
    caller,
    event::{Event, Input, Operation, Origin, ProcessId, Request},
    faults, network,
    world::{self, World},
};

impl World {
    pub(super) fn begin(&mut self, operation: Operation) {
        if operation < self.scenario.operations {
            self.after(self.scenario.interval, Event::Begin(operation + 1));
        }
        self.judge.report.operations += 1;
        let Some(key) = self.key(operation, 0, None) else {
            self.judge.report.unknown += 1;
            return;
        };
        let state = caller::State::new(key.clone(), self.now);
        self.callers.operations.insert(operation, state);
        self.send(operation, key.clone(), key.home.clone());
        self.send_copies(operation, &key);
        self.await_outcome(operation, key);
    }

    /// Sends the same key to other hosts at once, where faults occur.
    pub(super) fn send_copies(&mut self, operation: Operation, key: &model::IdempotencyKey) {
        if self.scenario.faults.is_empty() || !self.rng.random_bool(0.1) {
            return;
        }
        for _ in 0..self.rng.random_range(1..=3) {
            let host = self.any_host();
            self.send(operation, key.clone(), host);
        }
    }

    pub(super) fn await_outcome(&mut self, operation: Operation, key: model::IdempotencyKey) {
        let patience = self.callers.operations[&operation].patience();
        self.after(patience, Event::Repeat(operation, key));
    }

    pub(super) fn repeat(&mut self, operation: Operation, key: model::IdempotencyKey) {
        let state = self.callers.operations.get_mut(&operation);
        let next = state.map(|state| state.repeat(&key));
        if next == Some(caller::Next::SameKey) {
            let host = match self.rng.random_bool(0.4) {
                true => key.home.clone(),
                false => self.any_host(),
            };
            self.send(operation, key.clone(), host);
            self.await_outcome(operation, key);
        }
    }

    pub(super) fn answered(
        &mut self,
        id: model::RequestId,
        answer: dedup::Response,
        from: &ProcessId,
    ) {
        let Some(sent) = self.callers.requests.get_mut(&id) else {
            self.judge.report.wrong_answers += 1;
            return;
        };
        if sent.answered {
            self.judge.report.repeated_answers += 1;
        }
        sent.answered = true;
        let (operation, key) = (sent.operation, sent.key.clone());
        self.judge.answer(operation, &key, &answer);
        let state = self.callers.operations.get_mut(&operation);
        let state = state.expect("a request belongs to an operation");
        if matches!(answer, dedup::Response::Done(_)) {
            let latency = self.now - state.begun;
            let latencies = &mut self.judge.report.latencies;
            latencies.entry(operation).or_insert(latency);
        }
        if state.answered(&key, &answer) == caller::Next::NewKey {
            let keys = state.keys;
            if let Some(key) = self.key(operation, keys, Some(from)) {
                let state = self.callers.operations.get_mut(&operation);
                state.expect("the operation exists").key = key.clone();
                self.send(operation, key.clone(), key.home.clone());
                self.await_outcome(operation, key);
            }
        }
    }

    /// A key from a look-up; some callers use a cached look-up, and a few the key of another.
    pub(super) fn key(
        &mut self,
        operation: Operation,
        keys: u32,
        teller: Option<&ProcessId>,
    ) -> Option<model::IdempotencyKey> {
        let mut rng = world::operation_rng(self.seed, operation);
        let data_centres = self.doc.data_centres().cloned().collect::<Vec<_>>();
        let data_centre = data_centres.choose(&mut rng)?.clone();
        if !self.scenario.faults.is_empty() && keys == 0 && rng.random_bool(0.01) {
            let other = self.callers.operations.get(&(operation - 1));
            if let Some(other) = other {
                return Some(other.key.clone());
            }
        }
        if let Some(prefix) = teller.and_then(|teller| self.own_prefix(teller)) {
            return Some(prefix.with_token(format!("{operation:08}-{keys}")));
        }
        let fresh = keys > 0 || self.scenario.faults.is_empty() || rng.random_bool(0.3);
        let prefix = self.prefix(data_centre, fresh, &mut rng)?;
        Some(prefix.with_token(format!("{operation:08}-{keys}")))
    }

    /// The prefix for itself that a host sends along when it refuses a request.
    pub(super) fn own_prefix(&self, home: &ProcessId) -> Option<model::KeyPrefix> {
        let process = self.processes.get(home).filter(|p| p.paused.is_none())?;
        let prefix = process.dedup.key_prefix(&home.host, self.now)?;
        let witness = prefix.witness.clone().filter(|_| self.scenario.witness);
        Some(model::KeyPrefix { witness, ..prefix })
    }

    pub(super) fn prefix(
        &mut self,
        data_centre: model::DataCentreId,
        fresh: bool,
        rng: &mut Pcg64Mcg,
    ) -> Option<model::KeyPrefix> {
        let cached = self.prefixes.get(&data_centre).filter(|prefix| {
            let now = self.now.as_millis() as u64;
            let ttl = self.doc.lookup_ttl.as_millis() as u64;
            prefix.minted_unix_ms + ttl >= now
        });
        if let (Some(prefix), false) = (cached, fresh) {
            return Some(prefix.clone());
        }
        let near = |process: &&ProcessId| self.homes[&process.host] == data_centre;
        let listed = self.current.values().filter(|id| self.is_listed(id));
        let listed = listed.cloned().collect::<Vec<_>>();
        let near = listed.iter().filter(near).collect::<Vec<_>>();
        let any = listed.iter().collect::<Vec<_>>();
        let home = near.choose(rng).or(any.choose(rng))?;
        let running = listed.iter().filter(|id| self.is_running(id));
        let teller = running.collect::<Vec<_>>().choose(rng).copied()?;
        let dedup = &self.processes[teller].dedup;
        let mut prefix = dedup
            .key_prefix(&home.host, self.now)
            .or_else(|| self.processes[*home].dedup.key_prefix(&home.host, self.now))?;
        if !self.scenario.witness {
            prefix.witness = None;
        }
        self.prefixes.insert(data_centre, prefix.clone());
        Some(prefix)
    }

    pub(super) fn any_host(&mut self) -> model::HostId {
        let hosts = self.homes.keys().collect::<Vec<_>>();
        let host = hosts.choose(&mut self.rng).expect("there are hosts");
        host.to_string()
    }

    pub(super) fn send(
        &mut self,
        operation: Operation,
        key: model::IdempotencyKey,
        host: model::HostId,
    ) {
        let id = self.callers.requests.len() as model::RequestId + 1;
        let sent = caller::Sent {
            operation,
            key: key.clone(),
            answered: false,
        };
        self.callers.requests.insert(id, sent);
        let meta = model::RequestMeta {
            id,
            work: world::WORK.to_string(),
            origin: self.homes[&host].clone(),
            affinity: operation,
            deadline: self.now + caller::DEADLINE,
            body_bytes: 0,
            key: Some(key),
        };
        let request = Request { meta, operation };
        let delay = network::jittered(self.doc.latency.to_clients, &mut self.rng);
        let input = Input::Request(request, Origin::Caller);
        self.after(delay, Event::ToHost(host, input));
    }

    /// Whether look-ups name a process; they learn late that it is silent or leaving.
    pub(super) fn is_listed(&self, id: &ProcessId) -> bool {
        let process = &self.processes[id];
        let known = |since: model::Time| since + faults::DETECTION < self.now;
        let silent = process.paused.is_some() && known(process.paused_since);
        !silent && !process.leaving.is_some_and(known)
    }
}
