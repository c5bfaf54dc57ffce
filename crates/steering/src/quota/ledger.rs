//! Admission by quota at one host.

use std::{collections, time};

use xxhash_rust::xxh3;

use super::{account, allotment, holders, messages, quota, stock};
use crate::model;

/// Time after which a host that has not answered an ask is passed over.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(50);

/// Time for which a host that has not answered is not asked again.
const SILENCE_PAUSE: time::Duration = time::Duration::from_millis(400);

/// Longest time for which a host that had too few tokens, and has one again, is not asked.
const MAX_REPEAT_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Shortest time after which a client is told to retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// Time for which a host is not asked again that holds nothing of a quota.
const NOTHING_HELD_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Time for which a host's word that it has too few tokens says that the quota is used up.
const EXHAUSTED_TIME: time::Duration = time::Duration::from_secs(2);

/// Most requests of one customer that wait for tokens at a host.
const MAX_WAITING: usize = 64;

/// Why a request gets no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The customer's quota is used up.
    OverQuota,
    /// No host that holds tokens has answered.
    NoAnswer,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be served.
    Admitted(stock::Token),
    /// It must not be served.
    Refused {
        /// Why.
        reason: Refusal,
        /// Time after which tokens may be there.
        retry_after: time::Duration,
    },
}

/// Decision on a request, now or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is decided.
    Now(Verdict),
    /// It waits for a token; [`Ledger::take_decided`] returns the decision.
    Waiting,
}

/// A message and the host that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiver.
    pub to: model::HostId,
    /// The message.
    pub message: messages::Message,
}

/// The quotas of all customers at one host; `T` identifies a request.
#[derive(Debug)]
pub struct Ledger<T> {
    bounds: quota::Bounds,
    holders: holders::Holders,
    live: collections::HashSet<model::HostId>,
    accounts: collections::HashMap<u64, account::Account<T>>,
    /// Customers with requests that wait or asks that are not answered.
    active: collections::BTreeSet<u64>,
    /// Tokens to ask for with the next messages, by host.
    to_send: collections::BTreeMap<model::HostId, Vec<(u64, f32)>>,
    next_number: u64,
    decided: Vec<(T, Verdict)>,
}

impl<T: Copy + PartialEq> Ledger<T> {
    /// Creates a ledger without quotas.  Numbers of asks begin with `first_number`, which differs
    /// between the starts of a host.
    pub fn new(bounds: quota::Bounds, first_number: u64) -> Ledger<T> {
        Ledger {
            bounds,
            holders: holders::Holders::default(),
            live: collections::HashSet::new(),
            accounts: collections::HashMap::new(),
            active: collections::BTreeSet::new(),
            to_send: collections::BTreeMap::new(),
            next_number: first_number,
            decided: Vec::new(),
        }
    }

    /// Whether there are quotas.
    pub fn has_quotas(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Sets the quotas of the customers that have one.
    pub fn set_quotas<'a>(
        &mut self,
        quotas: impl IntoIterator<Item = (&'a str, quota::Quota)>,
        now: model::Time,
    ) {
        let quotas: collections::HashMap<u64, quota::Quota> = quotas
            .into_iter()
            .map(|(customer, quota)| (customer_hash(customer), quota))
            .collect();
        let (holders, bounds) = (&self.holders, &self.bounds);
        let ended: Vec<u64> = self
            .accounts
            .keys()
            .filter(|customer| !quotas.contains_key(customer))
            .copied()
            .collect();
        for customer in ended {
            let account = self.accounts.remove(&customer);
            let waiting = account.into_iter().flat_map(|account| account.waiting);
            let until = now + allotment::token_life(bounds);
            let admitted = Verdict::Admitted(stock::Token { until });
            self.decided
                .extend(waiting.map(|waiting| (waiting.request, admitted)));
            self.active.remove(&customer);
        }
        for (customer, quota) in quotas {
            let parts = holders.own_parts(customer, bounds);
            self.accounts
                .entry(customer)
                .or_insert_with(|| account::Account::new(quota, now))
                .resize(quota, &parts, bounds, now);
        }
    }

    /// Sets the hosts among which quotas are divided.
    pub fn set_holders(&mut self, holders: holders::Holders, now: model::Time) {
        self.live = holders.live();
        if holders.has_same_hosts(&self.holders) {
            return;
        }
        self.holders = holders;
        for (customer, account) in &mut self.accounts {
            let parts = self.holders.own_parts(*customer, &self.bounds);
            account.resize(account.quota, &parts, &self.bounds, now);
        }
    }

    /// Takes a token for a request, which waits for one until `wait_until` if other hosts may have
    /// some.
    pub fn admit(
        &mut self,
        customer: &str,
        request: T,
        wait_until: model::Time,
        now: model::Time,
    ) -> Admission {
        let life = allotment::token_life(&self.bounds);
        let customer = customer_hash(customer);
        let Some(account) = self.accounts.get_mut(&customer) else {
            let until = now + life;
            return Admission::Now(Verdict::Admitted(stock::Token { until }));
        };
        account.usage.record(now);
        if account.waiting.is_empty()
            && let Some(token) = account.try_take(life, now)
        {
            return Admission::Now(Verdict::Admitted(token));
        }
        if account.waiting.len() >= MAX_WAITING {
            return Admission::Now(refusal(account, now));
        }
        account.waiting.push_back(account::Waiting {
            request,
            until: wait_until,
        });
        self.advance(customer, now);
        let position = self.decided.iter().position(|(other, _)| *other == request);
        match position {
            Some(at) => Admission::Now(self.decided.swap_remove(at).1),
            None => Admission::Waiting,
        }
    }

    /// Gives back the token of a request that was not run.
    pub fn give_back(&mut self, customer: &str, token: stock::Token, now: model::Time) {
        let customer = customer_hash(customer);
        if let Some(account) = self.accounts.get_mut(&customer)
            && now < token.until
        {
            account.stock.add(1.0, token.until);
            self.advance(customer, now);
        }
    }

    /// Handles a message; returns the response, if any.
    pub fn receive(&mut self, message: messages::Message, now: model::Time) -> Option<Outgoing> {
        match message {
            messages::Message::Ask(ask) => Some(self.grant(ask, now)),
            messages::Message::Grant(grant) => {
                self.take_over(grant, now);
                None
            }
        }
    }

    /// Decides on requests that have waited too long and passes over hosts that have not answered.
    pub fn poll(&mut self, now: model::Time) {
        for customer in self.active.clone() {
            self.advance(customer, now);
        }
    }

    /// Decisions on requests that have waited.
    pub fn take_decided(&mut self) -> Vec<(T, Verdict)> {
        std::mem::take(&mut self.decided)
    }

    /// Whether there are messages to send.
    pub fn has_messages(&self) -> bool {
        !self.to_send.is_empty()
    }

    /// Messages to send now, one for each host that is asked.
    pub fn take_messages(&mut self, now: model::Time) -> Vec<Outgoing> {
        let to_send = std::mem::take(&mut self.to_send);
        let messages = to_send.into_iter().map(|(to, wanted)| {
            let number = self.next_number;
            self.next_number = self.next_number.wrapping_add(1);
            for (customer, _) in &wanted {
                let account = self.accounts.get_mut(customer);
                let asked = account.and_then(|account| account.asked.last_mut());
                if let Some(asked) = asked.filter(|asked| asked.host == to) {
                    asked.number = number;
                    asked.at = now;
                }
            }
            let host = self.holders.own.clone();
            let message = messages::Message::Ask(messages::Ask {
                host,
                number,
                wanted,
            });
            Outgoing { to, message }
        });
        messages.collect()
    }

    /// Requests per second of a customer that this host may admit by what it holds itself; `None`
    /// without a quota.
    pub fn own_rate(&self, customer: &str) -> Option<f64> {
        let account = self.accounts.get(&customer_hash(customer))?;
        Some(account.bucket.rate())
    }

    /// Grants what another host asks for, as far as the buckets last.
    fn grant(&mut self, ask: messages::Ask, now: model::Time) -> Outgoing {
        let granted = ask
            .wanted
            .into_iter()
            .map(|(customer, wanted)| self.grant_one(customer, wanted, now));
        let message = messages::Message::Grant(messages::Grant {
            granted: granted.collect(),
            host: self.holders.own.clone(),
            number: ask.number,
        });
        Outgoing {
            to: ask.host,
            message,
        }
    }

    fn grant_one(&mut self, customer: u64, wanted: f32, now: model::Time) -> messages::Granted {
        let account = self.accounts.get_mut(&customer);
        let bucket = account
            .map(|account| &mut account.bucket)
            .filter(|bucket| bucket.rate() > 0.0 && wanted.is_finite() && wanted > 0.0);
        let Some(bucket) = bucket else {
            return messages::Granted {
                customer,
                tokens: 0.0,
                rest: messages::Rest::NothingHeld,
            };
        };
        let tokens = bucket.grantable(f64::from(wanted), now) as f32;
        bucket.take(f64::from(tokens));
        let rest = match (tokens < wanted, bucket.time_to_token(now)) {
            (true, Some(time)) => {
                // Not so long that tokens are lost because the bucket is full.
                let min_pause = bucket.time_to_fill(now).min(MAX_REPEAT_PAUSE);
                messages::Rest::NoneFor(time.max(min_pause / 2))
            }
            (false, Some(time)) if time > time::Duration::ZERO => messages::Rest::NoneFor(time),
            (false, _) => messages::Rest::Some,
            (true, None) => messages::Rest::NothingHeld,
        };
        messages::Granted {
            customer,
            tokens,
            rest,
        }
    }

    /// Adds the tokens that another host has granted.
    fn take_over(&mut self, grant: messages::Grant, now: model::Time) {
        let life = allotment::token_life(&self.bounds);
        for granted in grant.granted {
            let Some(account) = self.accounts.get_mut(&granted.customer) else {
                continue;
            };
            let is_answer =
                |asked: &account::Asked| asked.number == grant.number && asked.host == grant.host;
            let Some(at) = account.asked.iter().position(is_answer) else {
                continue;
            };
            let asked = account.asked.swap_remove(at);
            let tokens = f64::from(granted.tokens);
            if tokens.is_finite() && tokens > 0.0 {
                account.stock.add(tokens, asked.at + life);
            }
            let pause = match granted.rest {
                messages::Rest::Some => time::Duration::ZERO,
                messages::Rest::NoneFor(pause) => pause,
                messages::Rest::NothingHeld => NOTHING_HELD_PAUSE,
            };
            if pause > time::Duration::ZERO {
                let end = now.saturating_add(pause);
                account.pauses.insert(grant.host.clone(), end);
            }
            if matches!(granted.rest, messages::Rest::NoneFor(_)) {
                account.exhausted_at = Some(now);
            }
            self.advance(granted.customer, now);
        }
    }

    /// Decides on the waiting requests of a customer as far as possible, and asks for tokens.
    fn advance(&mut self, customer: u64, now: model::Time) {
        let life = allotment::token_life(&self.bounds);
        let Some(account) = self.accounts.get_mut(&customer) else {
            self.active.remove(&customer);
            return;
        };
        while !account.waiting.is_empty()
            && let Some(token) = account.try_take(life, now)
            && let Some(waiting) = account.waiting.pop_front()
        {
            self.decided
                .push((waiting.request, Verdict::Admitted(token)));
        }
        account.asked.retain(|asked| now < asked.at + life);
        for asked in &mut account.asked {
            if asked.is_awaited && now >= asked.at + ASK_TIMEOUT {
                asked.is_awaited = false;
                let pause_end = now + SILENCE_PAUSE;
                account.pauses.insert(asked.host.clone(), pause_end);
            }
        }
        account.pauses.retain(|_, end| now < *end);
        if !account.waiting.is_empty() && !account.is_asking() {
            self.ask_next(customer, now);
        }
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        // A late answer is of use, too.
        let may_get_tokens = !account.asked.is_empty();
        while let Some(waiting) = account.waiting.front()
            && (!may_get_tokens || waiting.until <= now)
        {
            let request = waiting.request;
            account.waiting.pop_front();
            let verdict = refusal(account, now);
            self.decided.push((request, verdict));
        }
        match account.waiting.is_empty() && account.asked.is_empty() {
            true => self.active.remove(&customer),
            false => self.active.insert(customer),
        };
    }

    /// Asks the next host that may have tokens, if there is one.
    fn ask_next(&mut self, customer: u64, now: model::Time) {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        let to_ask = account.to_ask.get_or_insert_with(|| {
            let has_common_part = allotment::has_common_part(&account.quota);
            self.holders.to_ask(customer, has_common_part, &self.bounds)
        });
        let next = to_ask
            .iter()
            .find(|host| self.live.contains(*host) && !account.pauses.contains_key(*host))
            .cloned();
        let Some(host) = next else {
            return;
        };
        let wanted = account.wanted(now) as f32;
        account.asked.push(account::Asked {
            number: self.next_number,
            host: host.clone(),
            at: now,
            is_awaited: true,
        });
        self.to_send
            .entry(host)
            .or_default()
            .push((customer, wanted));
    }
}

/// Refuses a request of a customer.
fn refusal<T>(account: &mut account::Account<T>, now: model::Time) -> Verdict {
    let is_exhausted = account
        .exhausted_at
        .is_some_and(|at| now < at + EXHAUSTED_TIME);
    let is_alone = account.to_ask.as_ref().is_some_and(Vec::is_empty);
    let retry_after = account.retry_after(now).unwrap_or(NOTHING_HELD_PAUSE);
    Verdict::Refused {
        reason: match is_exhausted || is_alone {
            true => Refusal::OverQuota,
            false => Refusal::NoAnswer,
        },
        retry_after: retry_after.max(MIN_RETRY_AFTER),
    }
}

/// Hash of a customer's name, by which messages name it.
fn customer_hash(customer: &str) -> u64 {
    xxh3::xxh3_64(customer.as_bytes())
}
