//! Admission of requests by the quotas of customers.

use std::{collections, net, sync, sync::atomic, time};

use tokio::sync::{Notify, oneshot};
use yuccatide_steering::{customers, gateway as decisions, model, quota};

use super::{forward, gateway, response, state};

/// Longest wait for tokens of other hosts, as a part of the latency objective.
const MAX_WAIT_PART: u32 = 10;

/// Time that a started host gives the others to learn of it before it holds parts of quotas.
const SETTLING_TIME: time::Duration = time::Duration::from_millis(500);

/// Time after which a host that reads the store but hears of no other host counts as the only one.
const LONE_START_TIME: time::Duration = time::Duration::from_secs(10);

/// The ledger of a host, and the requests that wait for its decisions.
pub(super) struct Quotas {
    state: sync::Mutex<State>,
    /// Whether the configuration has quotas.
    is_active: atomic::AtomicBool,
    messages_due: Notify,
}

struct State {
    ledger: quota::Ledger<u64>,
    waiting: collections::HashMap<u64, Waiting>,
    next_request: u64,
    addresses: collections::HashMap<model::HostId, net::SocketAddr>,
    introduced_at: Option<model::Time>,
}

struct Waiting {
    customer: model::CustomerId,
    tx: oneshot::Sender<quota::Verdict>,
}

/// Token of a request; kept until its response is known.
pub(super) struct Permit {
    customer: sync::Arc<customers::Customer>,
    token: quota::Token,
}

impl Quotas {
    pub(super) fn new(bounds: quota::Bounds) -> Quotas {
        let state = State {
            ledger: quota::Ledger::new(bounds, rand::random()),
            waiting: collections::HashMap::new(),
            next_request: 0,
            addresses: collections::HashMap::new(),
            introduced_at: None,
        };
        Quotas {
            state: sync::Mutex::new(state),
            is_active: atomic::AtomicBool::new(false),
            messages_due: Notify::new(),
        }
    }

    /// Sets the quotas of a configuration.
    pub(super) fn apply_policy(&self, policy: Option<&decisions::Policy>, now: model::Time) {
        let customers = policy.iter().flat_map(|policy| &policy.customers);
        let quotas =
            customers.filter_map(|customer| Some((customer.name.as_str(), customer.quota?)));
        let mut state = self.lock();
        state.ledger.set_quotas(quotas, now);
        let is_active = state.ledger.has_quotas();
        self.is_active.store(is_active, atomic::Ordering::Relaxed);
        self.settle(state, now);
    }

    /// Sets the hosts among which quotas are divided.
    pub(super) fn update_hosts(
        &self,
        state: &state::State,
        regions: &collections::BTreeMap<model::DataCentreId, model::RegionId>,
        started: model::Time,
        now: model::Time,
    ) {
        if !self.is_active.load(atomic::Ordering::Relaxed) {
            return;
        }
        let members = &state.members;
        let is_alone = members.has_no_seeds()
            || state.dispatcher.servers.is_store_available() && now >= started + LONE_START_TIME;
        let mut quotas = self.lock();
        if members.is_introduced(now) || is_alone {
            quotas.introduced_at.get_or_insert(now);
        }
        let own = members.own();
        let peers: Vec<(&decisions::Member, bool)> = members.peers(now).collect();
        quotas.addresses = peers
            .iter()
            .map(|(member, _)| (member.host.clone(), member.peers))
            .collect();
        let peers = peers.into_iter().map(|(member, is_live)| quota::Peer {
            host: member.host.clone(),
            data_centre: member.data_centre.clone(),
            is_live,
        });
        let holders = quota::Holders {
            peers: peers.collect(),
            regions: regions.clone(),
            own: own.host.clone(),
            own_data_centre: own.data_centre.clone(),
            is_settled: quotas
                .introduced_at
                .is_some_and(|at| now >= at + SETTLING_TIME),
        };
        quotas.ledger.set_holders(holders, now);
    }

    /// Decides on requests that have waited too long.
    pub(super) fn poll(&self, now: model::Time) {
        if self.is_active.load(atomic::Ordering::Relaxed) {
            let mut state = self.lock();
            state.ledger.poll(now);
            self.settle(state, now);
        }
    }

    /// Part of each customer's quota that this host may admit by itself, by customer.
    pub(super) fn own_parts<'a>(
        &self,
        policy: &'a decisions::Policy,
    ) -> Vec<(&'a customers::Customer, f64)> {
        let state = self.lock();
        let customers = policy.customers.iter();
        customers
            .filter_map(|customer| {
                let rate = state.ledger.own_rate(&customer.name)?;
                Some((customer, rate / customer.quota?.rate))
            })
            .collect()
    }

    fn receive(&self, message: quota::Message, now: model::Time) -> Option<decisions::Outgoing> {
        let mut state = self.lock();
        let response = state.ledger.receive(message, now);
        let response = response.and_then(|response| state.address(response));
        self.settle(state, now);
        response
    }

    /// Hands decisions to the requests that wait for them, and has messages sent.
    fn settle(&self, mut state: sync::MutexGuard<'_, State>, now: model::Time) {
        let mut decided = state.ledger.take_decided();
        while !decided.is_empty() {
            for (request, verdict) in decided {
                let Some(waiting) = state.waiting.remove(&request) else {
                    continue;
                };
                if let Err(quota::Verdict::Admitted(token)) = waiting.tx.send(verdict) {
                    // The client has left.
                    state.ledger.give_back(&waiting.customer, token, now);
                }
            }
            decided = state.ledger.take_decided();
        }
        if state.ledger.has_messages() {
            self.messages_due.notify_one();
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    /// The message with the address that it goes to, if that is known.
    fn address(&self, outgoing: quota::Outgoing) -> Option<decisions::Outgoing> {
        let Some(address) = self.addresses.get(&outgoing.to) else {
            log::debug!(host = outgoing.to; "no address for a message about quotas");
            return None;
        };
        Some(decisions::Outgoing {
            to: vec![*address],
            message: decisions::Message::Quota(outgoing.message),
        })
    }
}

impl gateway::Gateway {
    /// Takes a token for a request of a customer with a quota, or returns the refusal.
    pub(super) async fn admit_by_quota(
        &self,
        client_req: &forward::ClientRequest,
    ) -> Result<Option<Permit>, Box<response::Response>> {
        let Some(customer) = &client_req.req.customer else {
            return Ok(None);
        };
        let Some(quota) = customer.quota else {
            return Ok(None);
        };
        let now = self.clock.now();
        let wait = client_req.req.route.objective / MAX_WAIT_PART;
        let rx = {
            let mut state = self.quotas.lock();
            state.next_request += 1;
            let request = state.next_request;
            let admission = state.ledger.admit(&customer.name, request, now + wait, now);
            let (tx, rx) = oneshot::channel();
            let verdict = match admission {
                quota::Admission::Now(verdict) => Some(verdict),
                quota::Admission::Waiting => {
                    let customer = customer.name.clone();
                    state.waiting.insert(request, Waiting { customer, tx });
                    None
                }
            };
            self.quotas.settle(state, now);
            match verdict {
                Some(verdict) => Err(verdict),
                None => Ok(rx),
            }
        };
        let verdict = match rx {
            Err(verdict) => verdict,
            Ok(rx) => rx.await.unwrap_or(quota::Verdict::Refused {
                reason: quota::Refusal::NoAnswer,
                retry_after: wait,
            }),
        };
        match verdict {
            quota::Verdict::Admitted(token) => Ok(Some(Permit {
                customer: sync::Arc::clone(customer),
                token,
            })),
            quota::Verdict::Refused {
                reason,
                retry_after,
            } => Err(Box::new(self.refuse_by_quota(
                client_req,
                customer,
                quota,
                reason,
                retry_after,
            ))),
        }
    }

    /// Gives back the token of a request that no backend server has run.
    pub(super) fn give_back(&self, permit: Permit) {
        let now = self.clock.now();
        let mut state = self.quotas.lock();
        state
            .ledger
            .give_back(&permit.customer.name, permit.token, now);
        self.quotas.settle(state, now);
    }

    /// Returns once there are messages about quotas to send.
    pub(super) async fn quota_messages_due(&self) {
        self.quotas.messages_due.notified().await;
    }

    /// Messages about quotas to send now.
    pub fn quota_messages(&self) -> Vec<decisions::Outgoing> {
        let now = self.clock.now();
        let mut state = self.quotas.lock();
        let messages = state.ledger.take_messages(now);
        let messages = messages.into_iter();
        messages.filter_map(|m| state.address(m)).collect()
    }

    /// Handles a message about quotas; returns the response, if any.
    pub(super) fn receive_quota(&self, message: quota::Message) -> Option<decisions::Outgoing> {
        self.quotas.receive(message, self.clock.now())
    }

    fn refuse_by_quota(
        &self,
        client_req: &forward::ClientRequest,
        customer: &customers::Customer,
        quota: quota::Quota,
        refusal: quota::Refusal,
        retry_after: time::Duration,
    ) -> response::Response {
        let reason = match refusal {
            quota::Refusal::OverQuota => decisions::Reason::OverQuota,
            quota::Refusal::NoAnswer => decisions::Reason::QuotaUnknown,
        };
        self.metrics.record_refusal(reason);
        if let Some(omitted) = self.admit_log_line("quota") {
            let own_rate = self.quotas.lock().ledger.own_rate(&customer.name);
            log::info!(
                request = client_req.id, route = client_req.req.route.name,
                customer = customer.name, rate = quota.rate, burst = quota.burst, own_rate,
                reason = reason.as_str(), retry_after_ms = retry_after.as_millis() as u64, omitted;
                "request refused by the quota of its customer"
            );
        }
        match refusal {
            quota::Refusal::OverQuota => response::over_quota(retry_after),
            quota::Refusal::NoAnswer => response::refusal(reason, retry_after),
        }
    }
}
