//! The way of a request: arrival, route, hop, pool, server, answer.

use std::{sync, time};

use rand::Rng;
use yuccatide_steering::{capacity, model, steer};

use super::{event, machine, node};

impl machine::Fleet {
    pub(super) fn handle(&mut self, event: event::Event) {
        match event {
            event::Event::Arrive(work, origin) => self.on_arrive(work, origin),
            event::Event::Hop(to, job, grant) => self.on_hop(&to, job, grant),
            event::Event::Served(host, job, server) => self.on_served(&host, job, &server),
            event::Event::Answer(job, result) => self.on_answer(job, result),
            event::Event::Message(from, to, message) => self.on_message(&from, &to, message),
            event::Event::Tick(host, incarnation) => self.on_tick(&host, incarnation),
            event::Event::Learn => self.on_learn(),
            event::Event::Script(_) => {}
        }
    }

    pub(super) fn on_arrive(&mut self, work: model::WorkId, origin: model::DataCentreId) {
        self.schedule_arrival(work.clone(), origin.clone());
        let caller = self.callers.draw(&work, &origin, &mut self.rng).clone();
        let live = |dc: &str| {
            let hosts = self.nodes.values().filter(|n| n.serves(dc));
            hosts.map(|n| &n.host).collect::<Vec<_>>()
        };
        let sites = self.doc.sites[&origin].data_centres.iter();
        let live = sites.map(|dc| live(dc)).collect::<Vec<_>>();
        let entry = caller.entry(&live).cloned();
        self.next += 1;
        let job = node::Job {
            meta: model::RequestMeta {
                id: u128::from(self.next),
                work: work.clone(),
                origin,
                affinity: caller.affinity,
                deadline: self.now + self.doc.work[&work].deadline,
                body_bytes: self.workload.bytes.0,
                key: None,
            },
            entry: entry.clone().unwrap_or_default(),
            arrived: self.now,
            from_elsewhere: false,
        };
        self.tally.bin(&job.meta, self.now).sent += 1;
        if entry.is_some() {
            match self.way {
                machine::Way::Steer => self.route(job),
                machine::Way::Nearest | machine::Way::Random => self.send_freely(job),
            }
        }
    }

    pub(super) fn route(&mut self, job: node::Job) {
        let now = self.now;
        let node = self.nodes.get_mut(&job.entry).expect("the entry is live");
        match node.steer.route(&job.meta, now) {
            steer::Route::Local => {
                let host = job.entry.clone();
                self.admit(&host, job);
            }
            steer::Route::Remote {
                host,
                data_centre,
                grant,
            } => {
                let from = node.data_centre.clone();
                self.count_link(&from, &data_centre, job.meta.body_bytes);
                let delay = self.delay(&from, &data_centre);
                self.schedule(delay, event::Event::Hop(host, job, grant));
            }
            steer::Route::NotRun(reason) => self.count_refused(&job, reason),
        }
    }

    pub(super) fn count_refused(&mut self, job: &node::Job, reason: model::NotRunReason) {
        let bin = self.tally.bin(&job.meta, job.arrived);
        match reason {
            model::NotRunReason::ShiftCap => bin.held += 1,
            model::NotRunReason::LinkFull => bin.link_full += 1,
            _ => bin.refused += 1,
        }
    }

    pub(super) fn on_hop(
        &mut self,
        to: &str,
        mut job: node::Job,
        grant: Option<capacity::GrantId>,
    ) {
        let now = self.now;
        let reachable = self.reaches(&job.entry, to);
        let Some(node) = self.nodes.get_mut(to).filter(|_| reachable) else {
            let refusal = Err(model::NotRunReason::Unreachable);
            return self.schedule(time::Duration::ZERO, event::Event::Answer(job, refusal));
        };
        let checked = node.steer.accept_remote(&job.meta, &job.entry, grant, now);
        job.from_elsewhere = grant.is_some();
        match checked {
            Ok(()) => self.admit(to, job),
            Err(reason) => self.answer(to, job, Err(reason)),
        }
    }

    /// Gives a request to the pool of a host.
    pub(super) fn admit(&mut self, host: &str, job: node::Job) {
        let doc = sync::Arc::clone(&self.doc);
        let work = &doc.work[&job.meta.work];
        let node = self.nodes.get_mut(host).expect("the host is live");
        if node.has_room(&doc, work) {
            node.enqueue(work, job);
            return self.dispatch(host, &work.service);
        }
        let finish = steer::Completion::default();
        node.steer.finished(job.meta.id, finish, self.now);
        self.answer(host, job, Err(model::NotRunReason::QueueFull));
    }

    pub(super) fn dispatch(&mut self, host: &str, service: &str) {
        loop {
            let Some(node) = self.nodes.get_mut(host) else {
                return;
            };
            let Some(server) = node.pick(service, &self.servers) else {
                return;
            };
            let Some(job) = node.dequeue(service) else {
                return;
            };
            if self.now >= job.meta.deadline {
                node.steer
                    .finished(job.meta.id, steer::Completion::default(), self.now);
                self.answer(host, job, Err(model::NotRunReason::Deadline));
                continue;
            }
            let slot_time = self.slot_time(&server);
            let s = self.servers.get_mut(&server).expect("the server is there");
            s.in_flight += 1;
            let served = event::Event::Served(host.to_string(), job, server);
            self.schedule(slot_time, served);
        }
    }

    pub(super) fn slot_time(&mut self, server: &str) -> time::Duration {
        let factor = self.rng.random_range(0.5..1.5) * self.servers[server].slowness;
        self.workload.slot_time.mul_f64(factor)
    }

    pub(super) fn on_served(&mut self, host: &str, job: node::Job, server: &str) {
        let s = self.servers.get_mut(server).expect("the server is there");
        if !s.live {
            return;
        }
        s.in_flight = s.in_flight.saturating_sub(1);
        let data_centre = s.data_centre.clone();
        let finish = steer::Completion {
            slot_time: Some(self.workload.slot_time.mul_f64(s.slowness)),
            response_bytes: self.workload.bytes.1,
        };
        if self.way != machine::Way::Steer {
            let delay = self.delay(&data_centre, &job.meta.origin);
            return self.schedule(delay, event::Event::Answer(job, Ok((data_centre, finish))));
        }
        let service = self.doc.work[&job.meta.work].service.clone();
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(host)
            && host != job.entry
        {
            node.steer.finished(job.meta.id, finish, now);
        }
        self.answer(host, job, Ok((data_centre, finish)));
        self.dispatch(host, &service);
    }

    pub(super) fn answer(
        &mut self,
        host: &str,
        job: node::Job,
        result: Result<(model::DataCentreId, steer::Completion), model::NotRunReason>,
    ) {
        let from = self.data_centre_of(host);
        let to = self.data_centre_of(&job.entry);
        if result.is_ok() {
            self.count_link(&from, &to, self.workload.bytes.1);
        }
        let delay = match host == job.entry {
            true => time::Duration::ZERO,
            false => self.delay(&from, &to),
        };
        self.schedule(delay, event::Event::Answer(job, result));
    }

    pub(super) fn on_answer(
        &mut self,
        job: node::Job,
        result: Result<(model::DataCentreId, steer::Completion), model::NotRunReason>,
    ) {
        let now = self.now;
        let finish = match &result {
            Ok((_, finish)) => *finish,
            Err(_) => steer::Completion::default(),
        };
        if let Some(node) = self.nodes.get_mut(&job.entry) {
            node.steer.finished(job.meta.id, finish, now);
        } else {
            return;
        }
        match result {
            Ok((data_centre, _)) if now <= job.meta.deadline => {
                let bin = self.tally.bin(&job.meta, job.arrived);
                bin.served += 1;
                bin.away += u32::from(data_centre != job.meta.origin);
            }
            Ok(_) => {}
            Err(reason) => self.count_refused(&job, reason),
        }
    }

    /// The ways without admission: the server queues whatever comes.
    pub(super) fn send_freely(&mut self, job: node::Job) {
        let entry = self.data_centre_of(&job.entry);
        let service = self.doc.work[&job.meta.work].service.clone();
        let known = self.known_servers();
        let open = self
            .servers
            .iter()
            .filter(|(id, s)| s.service == service && known.contains(*id))
            .map(|(id, s)| {
                (
                    self.doc.latency_between(&entry, &s.data_centre),
                    s.in_flight,
                    id.clone(),
                )
            })
            .collect::<Vec<_>>();
        let picked = match self.way {
            machine::Way::Random => {
                let i = self.rng.random_range(0..open.len().max(1));
                open.into_iter().nth(i)
            }
            _ => open.into_iter().min(),
        };
        let Some((latency, _, server)) = picked else {
            return;
        };
        let slot_time = self.slot_time(&server);
        let now = self.now;
        let s = self.servers.get_mut(&server).expect("the server is there");
        if !s.live {
            return;
        }
        s.in_flight += 1;
        let slot = s.free_at.iter_mut().min().expect("a server has slots");
        *slot = (*slot).max(now + latency) + slot_time;
        let done = *slot - now;
        let (from, to) = (entry, s.data_centre.clone());
        self.count_link(&from, &to, job.meta.body_bytes);
        self.schedule(done, event::Event::Served(job.entry.clone(), job, server));
    }
}
