//! Periodic work: measures load, moves cells, requests and issues grants, and sends reports.

use std::{collections, time};

use xxhash_rust::xxh3;

use super::{flow, message, peers, plan, router};
use crate::{capacity, model, shift};

/// Time between two reports.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of hosts of the data centre that receive a report.
const REPORT_RECIPIENT_COUNT: usize = 3;

/// Time without arrivals after which a flow from another data centre is dropped.
const FLOW_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Time for which a data centre has to grant too few slots before traffic is moved off it.
const LIMITED_DWELL: time::Duration = time::Duration::from_secs(4);

/// Mean slots below which a flow is not distributed over several data centres at once.
const SMALL_FLOW_SLOTS: f64 = 0.5;

/// Time without arrivals after which a flow needs no grants.
const QUIET_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Ratio of the slots requested to the mean number of requests in service.
const REQUESTED_RATIO: f64 = 1.25;

/// Ratio of granted slots to the mean number of requests in service up to which cells are moved to
/// a data centre.
const FILL_RATIO: f64 = 1.1;

/// Mean number of requests in service by kind of work and data centre.
type MeanSlots = collections::BTreeMap<capacity::GrantKey, f64>;

impl router::Router {
    /// Updates rates, moves cells, and returns the grant requests, grants and reports to send;
    /// called every [`router::TICK_INTERVAL`].
    pub fn tick(&mut self, now: model::Time) -> Vec<message::Action> {
        self.finish_share_sync(now);
        self.update_draining_servers(now);
        for flow in self.flows.values_mut() {
            flow.update_rate(now);
            if now >= flow.last_arrival + QUIET_TIMEOUT {
                flow.arrivals_per_s = 0.0;
            }
        }
        self.update_spillover(now);
        let mut outbox = Outbox {
            data_centre: self.data_centre.clone(),
            ..Outbox::default()
        };
        if self.is_ready() && self.peers.is_fresh(now) {
            let own = self.data_centre.clone();
            self.flows.retain(|(_, home), flow| {
                *home == own || now < flow.last_arrival + FLOW_IDLE_TIMEOUT
            });
            let needs = self.step_flows(now);
            self.request_grants(needs, &mut outbox, now);
        }
        self.send_grants(&mut outbox, now);
        self.send_reports(&mut outbox, now);
        outbox.into_actions()
    }

    /// Moves each flow by one step and returns the mean slots for which grants are needed next.
    fn step_flows(&mut self, now: model::Time) -> MeanSlots {
        let mut means = self.mean_slots();
        let mut needs = means.clone();
        let keys = self.flows.keys().cloned().collect::<Vec<_>>();
        for key in keys {
            let plan = self.step_flow(&key, &mut means, now);
            let slots = self.mean_flow_slots(&key);
            for (dc, cells) in plan.wanted_cells {
                let need = needs.entry((key.0.clone(), dc)).or_default();
                *need += slots * f64::from(cells) / f64::from(shift::CELL_COUNT);
            }
        }
        needs
    }

    fn step_flow(
        &mut self,
        key: &flow::FlowKey,
        means: &mut MeanSlots,
        now: model::Time,
    ) -> plan::Plan {
        let cap = self.doc.shift_cap(&key.0);
        let input = self.plan_input(key, means, now);
        let flow = &self.flows[key];
        // The cells of a flow without arrivals stay: if they moved, all of its traffic would be
        // admitted at the new data centre at once when it resumes.
        let is_idle = key.1 != self.data_centre && now >= flow.last_arrival + cap.interval;
        let mut plan = plan::plan(&flow.shares, &input);
        if plan.pending_moves.is_none()
            && let Some(followed) = self.alignment.followed_shares(key, now)
        {
            plan.moves = plan::align(&flow.shares, followed, &input);
        }
        let slots = self.mean_flow_slots(key);
        let flow = self.flows.get_mut(key).expect("flow exists");
        flow.pending_moves = plan.pending_moves;
        if is_idle || plan.moves.is_empty() {
            return plan;
        }
        for step in &plan.moves {
            flow.shares.assign(step.cell, &step.to);
            let mean = means.entry((key.0.clone(), step.to.clone()));
            *mean.or_default() += slots / f64::from(shift::CELL_COUNT);
        }
        let moved_home = plan.moves.iter().filter(|step| step.to == key.1).count();
        let direction = match moved_home * 2 > plan.moves.len() {
            true => flow::Direction::Home,
            false => flow::Direction::Away,
        };
        flow.record_step(direction, plan.moves.len() as u32, &cap, now);
        plan
    }

    fn plan_input<'a>(
        &self,
        key: &'a flow::FlowKey,
        means: &MeanSlots,
        now: model::Time,
    ) -> plan::PlanInput<'a> {
        let (work, home) = key;
        let flow = &self.flows[key];
        let cap = self.doc.shift_cap(work);
        let mut input = plan::PlanInput {
            home,
            home_limit: self.home_limit(key),
            destination_groups: self.destination_groups(key),
            may_leave: flow.may_step(flow::Direction::Away, now),
            may_return: flow.may_step(flow::Direction::Home, now),
            movable_cells: flow.move_log.remaining_cells(&cap, now),
            movable_cells_per_interval: shift::MoveLog::default().remaining_cells(&cap, now),
            ..plan::PlanInput::default()
        };
        for dc in self.doc.data_centres() {
            if let Some(cause) = self.exclusion_cause(work, dc, now) {
                input.excluded_data_centres.insert(dc.clone(), cause);
            } else if !self.is_stable(dc, now) {
                input.closed_to_moves.insert(dc.clone());
            }
            if home != &self.data_centre || dc != home {
                self.limit_by_grants(&mut input, key, dc, means, now);
            }
        }
        input
    }

    /// Whether a data centre, possibly the own one, has been live for long enough for traffic to be
    /// moved to it.
    fn is_stable(&self, data_centre: &str, now: model::Time) -> bool {
        match data_centre == self.data_centre {
            true => now >= self.started + peers::RECOVERY_DWELL,
            false => self.peers.is_stable(data_centre, now),
        }
    }

    /// Records the number of cells for which the grants of a data centre suffice.
    fn limit_by_grants(
        &self,
        input: &mut plan::PlanInput<'_>,
        key: &flow::FlowKey,
        data_centre: &str,
        means: &MeanSlots,
        now: model::Time,
    ) {
        let grant_key = (key.0.clone(), data_centre.to_string());
        let slots = f64::from(self.held_grants.milli_slots(&grant_key, now)) / 1000.0;
        let mean = means.get(&grant_key).copied().unwrap_or(0.0);
        let per_cell = self.mean_flow_slots(key) / f64::from(shift::CELL_COUNT);
        if per_cell <= 0.0 {
            return;
        }
        let cells = |mean: f64| (mean.max(0.0) / per_cell).min(f64::from(shift::CELL_COUNT)) as u32;
        input
            .granted_cells
            .insert(data_centre.to_string(), cells(slots / FILL_RATIO - mean));
        if let Some(shortage) = self.held_grants.shortage_duration(&grant_key, now) {
            let excess = match shortage < LIMITED_DWELL {
                true => 0,
                false => cells(mean - slots),
            };
            input
                .limited_by_grants
                .insert(data_centre.to_string(), excess);
        }
    }

    /// Destinations with their slots, grouped by latency.  For a small flow each destination is a
    /// group of its own, to keep the number of grants low.
    fn destination_groups(&self, key: &flow::FlowKey) -> Vec<Vec<(model::DataCentreId, u32)>> {
        let group_size = match self.mean_flow_slots(key) < SMALL_FLOW_SLOTS {
            true => 1,
            false => usize::MAX,
        };
        let with_slots = |dc: &model::DataCentreId| {
            let work_slots = self.topology.work_slots(&key.0, dc)?;
            Some((dc.clone(), work_slots.slots))
        };
        let seed = xxh3::xxh3_64(self.data_centre.as_bytes());
        let preference = |dc: &str| xxh3::xxh3_64_with_seed(dc.as_bytes(), seed);
        let mut groups = Vec::new();
        for group in self.topology.latency_groups() {
            let mut group = group.iter().filter_map(with_slots).collect::<Vec<_>>();
            group.sort_by_key(|(dc, _)| preference(dc));
            groups.extend(
                group
                    .chunks(group_size.min(group.len().max(1)))
                    .map(<[_]>::to_vec),
            );
        }
        groups
    }

    /// Cells of a flow that its home data centre may keep.  Traffic that has to leave is taken from
    /// the least urgent rank first.
    fn home_limit(&self, key: &flow::FlowKey) -> u32 {
        if key.1 != self.data_centre {
            return shift::CELL_COUNT;
        }
        let service = &self.doc.work[&key.0].service;
        let local_share = self
            .spillover
            .get(service)
            .map_or(1.0, |spillover| spillover.local_share());
        let mut own = self
            .flows
            .keys()
            .filter(|(work, home)| {
                *home == self.data_centre && &self.doc.work[work].service == service
            })
            .map(|k| (self.doc.work[&k.0].rank, k, self.mean_flow_slots(k)))
            .collect::<Vec<_>>();
        own.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let total = own.iter().map(|(_, _, slots)| slots).sum::<f64>();
        let mut excess = total * (1.0 - local_share);
        for (_, k, slots) in own {
            let moved = excess.min(slots);
            if k == key {
                let local = 1.0 - moved / slots.max(f64::MIN_POSITIVE);
                return (local * f64::from(shift::CELL_COUNT)).round() as u32;
            }
            excess -= moved;
        }
        shift::CELL_COUNT
    }

    /// Mean number of slots that all requests of a flow occupy.
    fn mean_flow_slots(&self, key: &flow::FlowKey) -> f64 {
        let slot_time = self.slot_times.get(&key.0).copied().unwrap_or_default();
        self.flows[key].arrivals_per_s * slot_time.mean_s()
    }

    /// Mean number of slots that flows occupy at each data centre by the current shares, except
    /// those of this data centre's own callers at this data centre.
    fn mean_slots(&self) -> MeanSlots {
        let mut means = MeanSlots::new();
        for (key, flow) in &self.flows {
            let slots = self.mean_flow_slots(key);
            for (dc, cells) in flow.shares.cells() {
                if dc != self.data_centre || key.1 != self.data_centre {
                    let mean = slots * f64::from(cells) / f64::from(shift::CELL_COUNT);
                    *means.entry((key.0.clone(), dc)).or_default() += mean;
                }
            }
        }
        means
    }

    fn request_grants(&mut self, needs: MeanSlots, outbox: &mut Outbox, now: model::Time) {
        for (grant_key, mean) in needs {
            let (work, dc) = &grant_key;
            let is_own_data_centre = *dc == self.data_centre;
            if (!is_own_data_centre && !self.peers.has_live_host(dc)) || mean <= 0.0 {
                continue;
            }
            let Some(work_slots) = self.topology.work_slots(work, dc) else {
                continue;
            };
            let owners = work_slots
                .owners
                .iter()
                .map(|(host, _)| host.clone())
                .collect::<Vec<_>>();
            let required = capacity::RequiredCapacity {
                milli_slots: (mean * REQUESTED_RATIO * 1000.0).ceil() as u32,
                bytes_per_s: self.required_bytes_per_s(&grant_key, mean),
            };
            let requests = self.held_grants.take_due_requests(
                &grant_key,
                required,
                &owners,
                &mut self.rng,
                now,
            );
            for (host, request) in requests {
                match host == self.host {
                    true => self.on_grant_request(&host, dc, request),
                    false => outbox.grant_requests.entry(host).or_default().push(request),
                }
            }
        }
    }

    /// Link rate that a mean number of requests in service needs: the request bodies of one second,
    /// with an allowance for variation, and one body of the largest size.
    fn required_bytes_per_s(&self, (work, data_centre): &capacity::GrantKey, mean: f64) -> u64 {
        const DEVIATIONS: f64 = 3.0;
        if self.doc.region_of(data_centre) == self.doc.region_of(&self.data_centre) {
            return 0;
        }
        let flows = self.flows.iter().filter(|((w, _), _)| w == work);
        let body = flows.map(|(_, flow)| flow.mean_bytes()).fold(0.0, f64::max);
        let slot_time = self.slot_times.get(work).copied().unwrap_or_default();
        let rate = mean / slot_time.mean_s().max(0.001);
        let bodies = rate + DEVIATIONS * rate.sqrt();
        (bodies * body) as u64 + self.doc.work[work].max_body_bytes
    }

    fn send_grants(&mut self, outbox: &mut Outbox, now: model::Time) {
        let link_rate = self.link_rate();
        for (host, grant) in self.issued_grants.issue_queued(|_| link_rate, now) {
            match host == self.host {
                true => {
                    let dc = self.data_centre.clone();
                    self.held_grants.on_grant(&dc, &host, grant, now);
                }
                false => outbox.grants.entry(host).or_default().push(grant),
            }
        }
    }

    fn update_spillover(&mut self, now: model::Time) {
        let services = self.doc.services.keys().cloned().collect::<Vec<_>>();
        for service in services {
            let measured = self.data_centre_load(&service, now);
            let spillover = self.spillover.entry(service).or_default();
            spillover.observe(measured, now);
        }
    }

    /// Demand and usable slots of this data centre, from recent reports of its hosts.
    fn data_centre_load(&self, service: &str, now: model::Time) -> Option<(f64, u32)> {
        let own = self.load(service, now)?;
        let others = self.peers.hosts_of(&self.data_centre);
        let loads = others
            .into_iter()
            .filter(|host| **host != self.host)
            .filter_map(|host| self.peers.load(host, service, now))
            .chain([own])
            .collect::<Vec<_>>();
        let demand = loads.iter().map(|load| load.demand_slots).sum();
        let slots = loads.iter().map(|load| load.capacity.slots).sum();
        Some((demand, slots))
    }

    /// Load of this host for a service, if the capacity is known.
    fn load(&self, service: &str, now: model::Time) -> Option<message::Load> {
        let capacity = self.issued_grants.capacity(service, now)?;
        let demand_slots = self
            .flows
            .keys()
            .filter(|(_, home)| *home == self.data_centre)
            .filter(|(work, _)| self.doc.work[work].service == service)
            .map(|key| self.mean_flow_slots(key))
            .sum();
        Some(message::Load {
            capacity,
            demand_slots,
        })
    }

    fn send_reports(&mut self, outbox: &mut Outbox, now: model::Time) {
        if self
            .last_report_sent
            .is_some_and(|at| now < at + REPORT_INTERVAL)
        {
            return;
        }
        self.last_report_sent = Some(now);
        let loads = self.doc.services.keys().filter_map(|service| {
            let load = self.load(service, now)?;
            Some((service.clone(), load))
        });
        outbox.report.services = loads.collect();
        outbox.report.shares = self.next_shares(now);
        outbox.report_to = self.ring_successors();
    }

    /// Shares of the flow to report next: the next one, in cyclic order, that is not entirely at home
    /// and has no pending moves.
    fn next_shares(&mut self, now: model::Time) -> Option<message::FlowShares> {
        let is_away = |(key, flow): &(&flow::FlowKey, &flow::Flow)| {
            flow.pending_moves.is_none() && flow.shares.cells_at(&key.1) < shift::CELL_COUNT
        };
        let last = self.last_reported_flow.take();
        let after = |key: &flow::FlowKey| last.as_ref().is_none_or(|last| key > last);
        let mut flows = self.flows.iter().filter(is_away);
        let next = flows
            .clone()
            .find(|(key, _)| after(key))
            .or_else(|| flows.next())?;
        let (key, flow) = next;
        self.last_reported_flow = Some(key.clone());
        Some(message::FlowShares {
            work: key.0.clone(),
            origin: key.1.clone(),
            shares: flow.shares.clone(),
            moves: flow.move_log.ages(now),
        })
    }

    /// The hosts that follow this one in the cyclic order of names within the data centre.
    fn ring_successors(&self) -> Vec<model::HostId> {
        let hosts = self.peers.hosts_of(&self.data_centre);
        let after = hosts.iter().filter(|host| ***host > self.host);
        let before = hosts.iter().filter(|host| ***host < self.host);
        after
            .chain(before)
            .take(REPORT_RECIPIENT_COUNT)
            .map(|host| (*host).clone())
            .collect()
    }
}

/// Messages of one tick, batched by receiving host.
#[derive(Default)]
struct Outbox {
    data_centre: model::DataCentreId,
    grant_requests: collections::BTreeMap<model::HostId, Vec<capacity::GrantRequest>>,
    grants: collections::BTreeMap<model::HostId, Vec<capacity::Grant>>,
    report: message::Report,
    report_to: Vec<model::HostId>,
}

impl Outbox {
    fn into_actions(self) -> Vec<message::Action> {
        let grant_requests = self.grant_requests.into_iter();
        let grants = self.grants.into_iter();
        let reports = self.report_to.into_iter();
        let from = self.data_centre;
        let grant_request = |requests| message::Message::Ask(from.clone(), requests);
        grant_requests
            .map(|(to, requests)| (to, grant_request(requests)))
            .chain(grants.map(|(to, grants)| (to, message::Message::Grant(grants))))
            .chain(reports.map(|to| (to, message::Message::Report(self.report.clone()))))
            .map(|(to, message)| message::Action::Send { to, message })
            .collect()
    }
}
