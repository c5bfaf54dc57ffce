//! Callers of a run, and its questions for versions.

use std::{collections, net, sync, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use tokio_util::sync as tokio_sync;
use yuccatide_platform_standins::{client, objects};

use crate::{book, keys};

/// Time for which a caller waits.
const PATIENCE: Duration = Duration::from_millis(2500);

/// Time after which a request without any answer has ended; hosts answer by its deadline.
const NOTHING: Duration = Duration::from_millis(4500);

/// Time after which a look-up or an attempt to connect has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests on one connection at most.
const PER_CONNECTION: u32 = 40;

/// Part of the idempotent requests that are sent together with further ones, and their number.
const PIPELINED_PART: f64 = 0.25;
const MAX_PIPELINED: u32 = 5;

/// Part of these callers that read nothing for a while.
const STALL_PART: f64 = 0.1;
const STALL: Duration = Duration::from_millis(600);

/// Life of a look-up's answer.
const LOOKUP_LIFE: Duration = Duration::from_secs(2);

/// Objects of all callers.
const OBJECTS: u64 = 40;

/// A host as callers reach it.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// Address for requests, as look-ups name it.
    pub requests: net::SocketAddr,
    /// The proxy before it.
    pub through: net::SocketAddr,
    /// Address for look-ups.
    pub lookups: net::SocketAddr,
}

/// One caller.
pub struct Caller {
    /// Number, for its ids.
    pub number: u64,
    /// Region and data centre next to it.
    pub place: (String, String),
    /// Hosts.
    pub reach: sync::Arc<Vec<Reach>>,
    /// Where it writes what it sees.
    pub book: book::Book,
    /// Seed of its choices.
    pub seed: u64,
}

struct Open {
    client: client::Client,
    host: usize,
    opened: book::At,
    requests: u32,
}

impl Caller {
    /// Sends requests until `stop`.
    pub async fn run(self, stop: tokio_sync::CancellationToken) {
        let mut rng = Pcg64::seed_from_u64(self.seed ^ self.number);
        let mut open: Option<Open> = None;
        let mut hosts: Vec<usize> = Vec::new();
        let mut asked = None::<book::At>;
        let mut count = 0;
        while !stop.is_cancelled() {
            if asked.is_none_or(|at| self.book.now() > at + LOOKUP_LIFE) {
                if let Some(told) = self.look_up(&mut rng).await {
                    hosts = told;
                }
                asked = Some(self.book.now());
            }
            if open.is_none() {
                open = self.connect(&hosts, &mut rng).await;
            }
            if let Some(connection) = open.take() {
                open = self.request(connection, &mut count, &mut rng).await;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..90))).await;
        }
    }

    /// Hosts that a look-up names.
    async fn look_up(&self, rng: &mut Pcg64) -> Option<Vec<usize>> {
        let host = self.reach.choose(rng)?;
        let path = objects::lookup_path(client::DOMAIN, &self.place.0, &self.place.1);
        let answer = tokio::time::timeout(CONNECT_TIMEOUT, async {
            let mut client = client::Client::connect(host.lookups).await.ok()?;
            client.try_send("GET", &path, &[], b"").await.ok()?;
            client.read_response().await
        });
        let addresses = objects::lookup_addresses(&answer.await.ok()??.body);
        let known = |address| self.reach.iter().position(|host| host.requests == address);
        let hosts: Vec<usize> = addresses.into_iter().filter_map(known).collect();
        (!hosts.is_empty()).then_some(hosts)
    }

    async fn connect(&self, hosts: &[usize], rng: &mut Pcg64) -> Option<Open> {
        let host = *hosts.choose(rng)?;
        let connecting = client::Client::connect(self.reach[host].through);
        let client = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        Some(Open {
            client: client.ok()?.ok()?,
            host,
            opened: self.book.now(),
            requests: 0,
        })
    }

    /// Mostly its own key; else one that holds, or held, for some versions, or one that never does.
    fn key(&self, rng: &mut Pcg64) -> keys::Key {
        let newest = self.book.with(|seen| seen.versions.last().copied());
        let newest = newest.map_or(0, |(version, _)| version);
        match rng.random_range(0..100) {
            0..12 => keys::Key::Passing(newest.saturating_sub(rng.random_range(0..5)).max(1)),
            12..18 => keys::Key::Unknown(rng.random_range(0..1000)),
            _ => keys::Key::Lasting(self.number),
        }
    }

    /// Sends a request, or several before the first is answered; returns the connection where it may
    /// carry another one.
    async fn request(&self, mut open: Open, count: &mut u64, rng: &mut Pcg64) -> Option<Open> {
        let is_idempotent = rng.random_bool(0.6);
        let is_pipelined = is_idempotent && rng.random_bool(PIPELINED_PART);
        let leaves = rng.random_bool(0.03);
        let number = match is_pipelined {
            true => rng.random_range(2..=MAX_PIPELINED),
            false => 1,
        };
        let mut sent = collections::VecDeque::new();
        for _ in 0..number {
            *count += 1;
            let sending = Sending {
                id: format!("c{}-{count}", self.number),
                key: self.key(rng),
                is_idempotent,
            };
            if !self.send(&mut open.client, &sending, rng).await {
                break;
            }
            open.requests += 1;
            sent.push_back((sending, self.book.now()));
        }
        let stalls = is_pipelined && rng.random_bool(STALL_PART);
        if stalls {
            tokio::time::sleep(STALL).await;
        }
        // If nothing was sent, the connection had ended before.
        let mut is_usable = !sent.is_empty();
        while let Some((sending, at)) = sent.pop_front() {
            let patience = match leaves {
                true => Duration::from_millis(15),
                false => NOTHING,
            };
            let answer = tokio::time::timeout(patience, open.client.read_response()).await;
            let says_close = matches!(
                &answer,
                Ok(Some(answer)) if answer.header("Connection").is_some_and(|v| v == "close")
            );
            let end = match answer {
                Err(_) if leaves => book::End::Left,
                Err(_) => book::End::Nothing,
                // When the connection ended can't be told.
                Ok(None) if stalls => book::End::Unread,
                Ok(None) => book::End::Closed,
                Ok(Some(answer)) => book::End::Answer {
                    status: answer.status,
                    signature: answer.header(objects::SIGNATURE_HEADER).map(str::to_string),
                    body: answer.text(),
                    is_whole: answer.is_complete,
                },
            };
            is_usable = !says_close && matches!(&end, book::End::Answer { is_whole: true, .. });
            let end_behind = match &end {
                _ if says_close => book::End::Unread,
                book::End::Closed | book::End::Unread => end.clone(),
                _ => book::End::Left,
            };
            self.record(&open, sending, at, end);
            if !is_usable {
                for (sending, at) in sent.drain(..) {
                    self.record(&open, sending, at, end_behind.clone());
                }
            }
        }
        (is_usable && open.requests < PER_CONNECTION).then_some(open)
    }

    fn record(&self, open: &Open, sending: Sending, sent: book::At, end: book::End) {
        let request = book::Request {
            id: sending.id,
            key: sending.key,
            is_idempotent: sending.is_idempotent,
            host: open.host,
            sent,
            ended: self.book.now(),
            opened: open.opened,
            end,
        };
        self.book.with(|seen| seen.requests.push(request));
    }

    /// Sends a request; returns whether all of it was written.
    async fn send(&self, client: &mut client::Client, sending: &Sending, rng: &mut Pcg64) -> bool {
        let (method, prefix, body) = match sending.is_idempotent {
            true => ("GET", "read", ""),
            false => ("PUT", "book", "some body"),
        };
        let object = rng.random_range(0..OBJECTS);
        let headers = [
            format!("{}: {}", objects::REQUEST_ID_HEADER, sending.id),
            format!("{}: {}", objects::DEADLINE_HEADER, PATIENCE.as_millis()),
            objects::affinity_cookie(object),
            format!("{}: {}", objects::KEY_HEADER, sending.key.text()),
            // The name of another customer than that of most of its keys.
            format!(
                "{}: {}",
                objects::CUSTOMER_HEADER,
                keys::customer(self.number + 1)
            ),
        ];
        let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
        let path = format!("/{prefix}/{object}");
        let sending = client.try_send(method, &path, &headers, body.as_bytes());
        sending.await.is_ok()
    }
}

/// A request that a caller sends.
struct Sending {
    id: String,
    key: keys::Key,
    is_idempotent: bool,
}

/// Asks a host whether a version is in force, past the proxies.
pub async fn probe(host: net::SocketAddr, version: u64) -> Option<bool> {
    let answer = tokio::time::timeout(PATIENCE, async {
        let mut client = client::Client::connect(host).await.ok()?;
        let id = format!("{}: probe-{version}", objects::REQUEST_ID_HEADER);
        let key = format!("{}: {}", objects::KEY_HEADER, keys::Key::Lasting(0).text());
        let path = format!("/probe-{version}/x");
        let headers = [id.as_str(), key.as_str()];
        client.try_send("GET", &path, &headers, b"").await.ok()?;
        client.read_response().await
    });
    match answer.await.ok()??.status {
        404 => Some(false),
        503 => None,
        _ => Some(true),
    }
}

/// Whether a host says that it takes requests.
pub async fn is_ready(host: net::SocketAddr) -> bool {
    let answer = tokio::time::timeout(CONNECT_TIMEOUT, async {
        let mut client = client::Client::connect(host).await.ok()?;
        client.try_send("GET", "/readiness", &[], b"").await.ok()?;
        client.read_response().await
    });
    matches!(answer.await, Ok(Some(answer)) if answer.status == 200)
}
