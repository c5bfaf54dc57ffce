//! What happens at each tick: measure, move, ask, grant, report.

use std::{collections, time};

use xxhash_rust::xxh3;

use super::{flow, message, peers, plan, router};
use crate::{capacity, model, shift};

/// Time between two reports.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Hosts of the data centre that get a report.
const REPORTED_TO: usize = 3;

/// Time without arrivals after which the traffic of another data centre is forgotten.
const IDLE_TIME: time::Duration = time::Duration::from_secs(60);

/// Time for which a data centre has to give too few grants before traffic is moved off it.
const LIMITED_DWELL: time::Duration = time::Duration::from_secs(4);

/// Mean slots below which a flow is not spread over several data centres at once.
const SMALL_FLOW_SLOTS: f64 = 0.5;

/// Time without arrivals after which a flow needs no grants.
const QUIET_TIME: time::Duration = time::Duration::from_secs(3);

/// Slots asked for, over the mean number of requests in service.
const ASKED_RATIO: f64 = 1.25;

/// Slots needed to move more traffic to a data centre, over the mean number in service.
const FILLED_RATIO: f64 = 1.1;

/// Mean slots needed at each data centre for a kind of work.
type Means = collections::BTreeMap<capacity::GrantKey, f64>;

impl router::Router {
    /// Does what is due; called every [`router::TICK_INTERVAL`].
    pub fn tick(&mut self, now: model::Time) -> Vec<message::Action> {
        self.finish_takeover(now);
        self.note_stops(now);
        for flow in self.flows.values_mut() {
            flow.measure(now);
            if now >= flow.arrived + QUIET_TIME {
                flow.rate = 0.0;
            }
        }
        self.observe_heat(now);
        let mut outbox = Outbox {
            data_centre: self.data_centre.clone(),
            ..Outbox::default()
        };
        if self.is_ready() && self.peers.is_fresh(now) {
            let own = self.data_centre.clone();
            self.flows
                .retain(|(_, origin), flow| *origin == own || now < flow.arrived + IDLE_TIME);
            let needs = self.step_flows(now);
            self.send_asks(needs, &mut outbox, now);
        }
        self.send_grants(&mut outbox, now);
        self.send_reports(&mut outbox, now);
        outbox.actions()
    }

    /// Moves each flow by a step and returns the mean slots needed next.
    fn step_flows(&mut self, now: model::Time) -> Means {
        let mut means = self.means();
        let mut needs = means.clone();
        let keys = self.flows.keys().cloned().collect::<Vec<_>>();
        for key in keys {
            let plan = self.step_flow(&key, &mut means, now);
            let slots = self.flow_slots(&key);
            for (dc, cells) in plan.wanted {
                let need = needs.entry((key.0.clone(), dc)).or_default();
                *need += slots * f64::from(cells) / f64::from(shift::CELL_COUNT);
            }
        }
        needs
    }

    fn step_flow(
        &mut self,
        key: &flow::FlowKey,
        means: &mut Means,
        now: model::Time,
    ) -> plan::Plan {
        let cap = self.doc.shift_cap(&key.0);
        let input = self.plan_input(key, means, now);
        let flow = &self.flows[key];
        // Steps without traffic would let all of it in at once when it comes.
        let idle = key.1 != self.data_centre && now >= flow.arrived + cap.interval;
        let mut plan = plan::plan(&flow.shares, &input);
        if plan.moving.is_none()
            && let Some(lead) = self.alignment.lead(key, now)
        {
            plan.moves = plan::align(&flow.shares, lead, &input);
        }
        let slots = self.flow_slots(key);
        let flow = self.flows.get_mut(key).expect("the flow is there");
        flow.moving = plan.moving;
        if idle || plan.moves.is_empty() {
            return plan;
        }
        for step in &plan.moves {
            flow.shares.assign(step.cell, &step.to);
            let mean = means.entry((key.0.clone(), step.to.clone()));
            *mean.or_default() += slots / f64::from(shift::CELL_COUNT);
        }
        let home = plan.moves.iter().filter(|step| step.to == key.1).count();
        let direction = match home * 2 > plan.moves.len() {
            true => flow::Direction::Home,
            false => flow::Direction::Away,
        };
        flow.stepped(direction, plan.moves.len() as u32, &cap, now);
        plan
    }

    fn plan_input<'a>(
        &self,
        key: &'a flow::FlowKey,
        means: &Means,
        now: model::Time,
    ) -> plan::Input<'a> {
        let (work, home) = key;
        let flow = &self.flows[key];
        let cap = self.doc.shift_cap(work);
        let mut input = plan::Input {
            home,
            home_limit: self.home_limit(key),
            groups: self.groups_of(key),
            may_leave: flow.may_step(flow::Direction::Away, now),
            may_return: flow.may_step(flow::Direction::Home, now),
            budget: flow.log.remaining_cells(&cap, now),
            step: shift::MoveLog::default().remaining_cells(&cap, now),
            ..plan::Input::default()
        };
        for dc in self.doc.data_centres() {
            if let Some(cause) = self.barred(work, dc, now) {
                input.barred.insert(dc.clone(), cause);
            } else if !self.is_settled(dc, now) {
                input.closed.insert(dc.clone());
            }
            if home != &self.data_centre || dc != home {
                self.limit_by_grants(&mut input, key, dc, means, now);
            }
        }
        input
    }

    /// Whether a data centre has been live for long enough to get traffic back.
    fn is_settled(&self, data_centre: &str, now: model::Time) -> bool {
        match data_centre == self.data_centre {
            true => now >= self.started + peers::RECOVERY_DWELL,
            false => self.peers.is_live(data_centre, now),
        }
    }

    /// Notes how many cells the grants of a data centre have room for.
    fn limit_by_grants(
        &self,
        input: &mut plan::Input<'_>,
        key: &flow::FlowKey,
        data_centre: &str,
        means: &Means,
        now: model::Time,
    ) {
        let account = (key.0.clone(), data_centre.to_string());
        let slots = f64::from(self.held_grants.milli_slots(&account, now)) / 1000.0;
        let mean = means.get(&account).copied().unwrap_or(0.0);
        let per_cell = self.flow_slots(key) / f64::from(shift::CELL_COUNT);
        if per_cell <= 0.0 {
            return;
        }
        let cells = |mean: f64| (mean.max(0.0) / per_cell).min(f64::from(shift::CELL_COUNT)) as u32;
        input
            .room
            .insert(data_centre.to_string(), cells(slots / FILLED_RATIO - mean));
        if let Some(short_for) = self.held_grants.shortage_duration(&account, now) {
            let excess = match short_for < LIMITED_DWELL {
                true => 0,
                false => cells(mean - slots),
            };
            input.limited.insert(data_centre.to_string(), excess);
        }
    }

    /// Destinations by latency, with their slots.  A small flow goes to one after the other, to
    /// keep the number of grants low.
    fn groups_of(&self, key: &flow::FlowKey) -> Vec<Vec<(model::DataCentreId, u32)>> {
        let count = match self.flow_slots(key) < SMALL_FLOW_SLOTS {
            true => 1,
            false => usize::MAX,
        };
        let weighted = |dc: &model::DataCentreId| {
            let site = self.topology.site(&key.0, dc)?;
            Some((dc.clone(), site.slots))
        };
        let seed = xxh3::xxh3_64(self.data_centre.as_bytes());
        let preference = |dc: &str| xxh3::xxh3_64_with_seed(dc.as_bytes(), seed);
        let mut groups = Vec::new();
        for group in self.topology.groups() {
            let mut group = group.iter().filter_map(weighted).collect::<Vec<_>>();
            group.sort_by_key(|(dc, _)| preference(dc));
            groups.extend(
                group
                    .chunks(count.min(group.len().max(1)))
                    .map(<[_]>::to_vec),
            );
        }
        groups
    }

    /// Cells of a flow that its home may have; what has to leave is taken from the lowest rank
    /// first.
    fn home_limit(&self, key: &flow::FlowKey) -> u32 {
        if key.1 != self.data_centre {
            return shift::CELL_COUNT;
        }
        let service = &self.doc.work[&key.0].service;
        let kept = self.heat.get(service).map_or(1.0, |heat| heat.kept());
        let mut own = self
            .flows
            .keys()
            .filter(|(work, origin)| {
                *origin == self.data_centre && &self.doc.work[work].service == service
            })
            .map(|k| (self.doc.work[&k.0].rank, k, self.flow_slots(k)))
            .collect::<Vec<_>>();
        own.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let total = own.iter().map(|(_, _, slots)| slots).sum::<f64>();
        let mut excess = total * (1.0 - kept);
        for (_, k, slots) in own {
            let part = excess.min(slots);
            if k == key {
                let left = 1.0 - part / slots.max(f64::MIN_POSITIVE);
                return (left * f64::from(shift::CELL_COUNT)).round() as u32;
            }
            excess -= part;
        }
        shift::CELL_COUNT
    }

    /// Mean slots that all requests of a flow need.
    fn flow_slots(&self, key: &flow::FlowKey) -> f64 {
        let slot_time = self.slot_times.get(&key.0).copied().unwrap_or_default();
        self.flows[key].rate * slot_time.mean_s()
    }

    /// Mean slots that flows need where they are now, except at home.
    fn means(&self) -> Means {
        let mut means = Means::new();
        for (key, flow) in &self.flows {
            let slots = self.flow_slots(key);
            for (dc, cells) in flow.shares.cells() {
                if dc != self.data_centre || key.1 != self.data_centre {
                    let mean = slots * f64::from(cells) / f64::from(shift::CELL_COUNT);
                    *means.entry((key.0.clone(), dc)).or_default() += mean;
                }
            }
        }
        means
    }

    fn send_asks(&mut self, needs: Means, outbox: &mut Outbox, now: model::Time) {
        for (account, mean) in needs {
            let (work, dc) = &account;
            let local = *dc == self.data_centre;
            if (!local && !self.peers.is_present(dc)) || mean <= 0.0 {
                continue;
            }
            let Some(site) = self.topology.site(work, dc) else {
                continue;
            };
            let owners = site
                .owners
                .iter()
                .map(|(host, _)| host.clone())
                .collect::<Vec<_>>();
            let need = capacity::RequiredCapacity {
                milli_slots: (mean * ASKED_RATIO * 1000.0).ceil() as u32,
                bytes_per_s: self.bytes_per_s(&account, mean),
            };
            let asks = self
                .held_grants
                .due_requests(&account, need, &owners, &mut self.rng, now);
            for (host, ask) in asks {
                match host == self.host {
                    true => self.on_ask(&host, dc, ask),
                    false => outbox.asks.entry(host).or_default().push(ask),
                }
            }
        }
    }

    /// Link use that a mean number of requests in service needs: the bodies that arrive in a
    /// second, with room for variation, and one of the largest size.
    fn bytes_per_s(&self, (work, data_centre): &capacity::GrantKey, mean: f64) -> u64 {
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
        let part = self.link_part();
        for (host, grant) in self.issued_grants.decide(|_| part, now) {
            match host == self.host {
                true => {
                    let dc = self.data_centre.clone();
                    self.held_grants.on_grant(&dc, &host, grant, now);
                }
                false => outbox.grants.entry(host).or_default().push(grant),
            }
        }
    }

    fn observe_heat(&mut self, now: model::Time) {
        let services = self.doc.services.keys().cloned().collect::<Vec<_>>();
        for service in services {
            let measured = self.measure_data_centre(&service, now);
            let heat = self.heat.entry(service).or_default();
            heat.observe(measured, now);
        }
    }

    /// Demand and usable slots of this data centre, as far as its hosts reported lately.
    fn measure_data_centre(&self, service: &str, now: model::Time) -> Option<(f64, u32)> {
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

    /// Load of this host for a service, if its capacity is known.
    fn load(&self, service: &str, now: model::Time) -> Option<message::Load> {
        let capacity = self.issued_grants.capacity(service, now)?;
        let demand_slots = self
            .flows
            .keys()
            .filter(|(_, origin)| *origin == self.data_centre)
            .filter(|(work, _)| self.doc.work[work].service == service)
            .map(|key| self.flow_slots(key))
            .sum();
        Some(message::Load {
            capacity,
            demand_slots,
        })
    }

    fn send_reports(&mut self, outbox: &mut Outbox, now: model::Time) {
        if self.reported.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return;
        }
        self.reported = Some(now);
        let loads = self.doc.services.keys().filter_map(|service| {
            let load = self.load(service, now)?;
            Some((service.clone(), load))
        });
        outbox.report.services = loads.collect();
        outbox.report.shares = self.next_shares(now);
        outbox.report_to = self.ring_successors();
    }

    /// Shares of the next flow that is not all at home, after the one reported last.
    fn next_shares(&mut self, now: model::Time) -> Option<message::FlowShares> {
        let away = |(key, flow): &(&flow::FlowKey, &flow::Flow)| {
            flow.moving.is_none() && flow.shares.cells_at(&key.1) < shift::CELL_COUNT
        };
        let last = self.reported_flow.take();
        let after = |key: &flow::FlowKey| last.as_ref().is_none_or(|last| key > last);
        let mut flows = self.flows.iter().filter(away);
        let next = flows
            .clone()
            .find(|(key, _)| after(key))
            .or_else(|| flows.next())?;
        let (key, flow) = next;
        self.reported_flow = Some(key.clone());
        Some(message::FlowShares {
            work: key.0.clone(),
            origin: key.1.clone(),
            shares: flow.shares.clone(),
            moves: flow.log.ages(now),
        })
    }

    /// The hosts that follow this one in the order of names, around the data centre.
    fn ring_successors(&self) -> Vec<model::HostId> {
        let hosts = self.peers.hosts_of(&self.data_centre);
        let after = hosts.iter().filter(|host| ***host > self.host);
        let before = hosts.iter().filter(|host| ***host < self.host);
        after
            .chain(before)
            .take(REPORTED_TO)
            .map(|host| (*host).clone())
            .collect()
    }
}

/// Messages of one tick, those to one host together.
#[derive(Default)]
struct Outbox {
    data_centre: model::DataCentreId,
    asks: collections::BTreeMap<model::HostId, Vec<capacity::GrantRequest>>,
    grants: collections::BTreeMap<model::HostId, Vec<capacity::Grant>>,
    report: message::Report,
    report_to: Vec<model::HostId>,
}

impl Outbox {
    fn actions(self) -> Vec<message::Action> {
        let asks = self.asks.into_iter();
        let grants = self.grants.into_iter();
        let reports = self.report_to.into_iter();
        let from = self.data_centre;
        let ask = |asks| message::Message::Ask(from.clone(), asks);
        asks.map(|(to, asks)| (to, ask(asks)))
            .chain(grants.map(|(to, grants)| (to, message::Message::Grant(grants))))
            .chain(reports.map(|to| (to, message::Message::Report(self.report.clone()))))
            .map(|(to, message)| message::Action::Send { to, message })
            .collect()
    }
}
