//! Backend servers of a run, each behind a proxy.

use std::{io, sync, time::Duration};

use tokio::net::TcpListener;
use yuccatide_platform_standins::{
    backend::{self, Action},
    objects,
};

use crate::{book, plan, proxy};

/// Requests that a backend server runs at a time, and those that may wait.
const SLOTS: u32 = 6;
const QUEUE: usize = 12;

/// Work of a request: shorter for some ids than for others.
const WORK: Duration = Duration::from_millis(20);
const MORE_WORK: Duration = Duration::from_millis(40);

/// Slowdown of [`plan::Fault::Slow`].
const SLOWDOWN: u32 = 12;

/// One in so many answers is spoilt; a server that fails does so with all.
const SPOILT_EVERY: usize = 4;

/// Statuses with which a backend server fails requests that it has run.
const FAILURES: [u16; 6] = [500, 503, 429, 408, 421, 504];

/// Time for which a started backend server is cold.
pub const WARMUP: Duration = Duration::from_secs(3);
/// Requests a second that a cold backend server tolerates.
pub const COLD_RATE: f64 = 15.0;

/// Limit that [`plan::Signal::Limit`] names, in requests a second.
pub const LIMIT: f64 = 6.0;
/// Pause that [`plan::Signal::Pause`] asks for.
pub const PAUSE: Duration = Duration::from_millis(1500);

/// What a backend server does, beside its work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Harm {
    /// Whether it is slow.
    pub is_slow: bool,
    /// What is wrong with its answers.
    pub spoilt: Option<plan::Spoilt>,
    /// What it says of itself.
    pub signal: Option<plan::Signal>,
}

/// A place in which backend servers run one after the other.
pub struct Place {
    /// Entry of the present one.
    pub entry: objects::ServerEntry,
    /// Name of the present one.
    pub name: String,
    /// Link of the hosts to it.
    pub link: proxy::Proxy,
    /// What is wrong with it.
    pub harm: sync::Arc<sync::Mutex<Harm>>,
    /// Whether its entry is in the store.
    pub is_registered: bool,
    /// Whether the present one leaves.
    pub is_leaving: bool,
    running: Option<backend::Backend>,
    starts: u64,
    number: usize,
}

impl Place {
    /// A place with a running backend server.
    pub async fn start(
        number: usize,
        service: &str,
        data_centre: &str,
        book: &book::Book,
    ) -> io::Result<Place> {
        let nowhere = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
        let link = proxy::Proxy::start(nowhere).await?;
        let entry = objects::ServerEntry {
            service: service.to_string(),
            address: link.address,
            data_centre: data_centre.to_string(),
            slots: SLOTS,
            is_draining: false,
            warmup_left: Duration::ZERO,
            incarnation: 0,
            sequence: 0,
        };
        let mut place = Place {
            entry,
            name: String::new(),
            link,
            harm: sync::Arc::default(),
            is_registered: false,
            is_leaving: false,
            running: None,
            starts: 0,
            number,
        };
        place.restart(service, Duration::ZERO, book).await?;
        Ok(place)
    }

    /// Ends the present backend server and all of its connections.
    pub fn crash(&mut self) {
        self.running = None;
    }

    /// Starts another backend server in the place.
    pub async fn restart(
        &mut self,
        service: &str,
        warmup: Duration,
        book: &book::Book,
    ) -> io::Result<()> {
        self.starts += 1;
        self.name = format!("s{}-{}", self.number, self.starts);
        self.entry.service = service.to_string();
        self.entry.incarnation = self.starts;
        self.entry.sequence = 0;
        self.entry.is_draining = false;
        self.is_leaving = false;
        self.entry.warmup_left = warmup;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.link.lead_to(listener.local_addr()?);
        let script = script(self.name.clone(), self.harm.clone(), book.clone());
        self.running = Some(backend::Backend::start_on(listener, script));
        if warmup > Duration::ZERO {
            let from = book.now();
            let span = book::Span {
                from,
                to: from + warmup,
            };
            book.with(|seen| seen.cold.push((self.name.clone(), span)));
        }
        Ok(())
    }
}

/// What a backend server does with each request.
fn script(
    name: String,
    harm: sync::Arc<sync::Mutex<Harm>>,
    book: book::Book,
) -> impl Fn(usize, &backend::ReceivedRequest) -> Action + Send + Sync {
    let ends: sync::Mutex<Vec<book::At>> = sync::Mutex::default();
    move |number, seen| {
        let now = book.now();
        if seen
            .header(objects::TARGET_HEADER)
            .is_some_and(|id| id != name)
        {
            return Action::Write(backend::named_shed_response(421, &seen.id()));
        }
        let harm = *harm.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if seen.head.starts_with("GET /health ") {
            return Action::Write(backend::with_headers(
                backend::signed_response(200, &seen.id(), "health", ""),
                &format!("{}X-Instance-Id: {name}\r\n", signal_header(harm.signal)),
            ));
        }
        let arrival = book::Arrival {
            request: seen.id(),
            server: name.clone(),
            customers: values(seen, objects::CUSTOMER_HEADER),
            has_key: !values(seen, objects::KEY_HEADER).is_empty(),
            at: now,
        };
        book.with(|seen| seen.arrivals.push(arrival));
        if harm.signal == Some(plan::Signal::Pause) {
            let span = book::Span {
                from: now,
                to: now + PAUSE,
            };
            book.with(|book| book.pauses.push((name.clone(), seen.id(), span)));
            return Action::Write(backend::with_headers(
                backend::named_shed_response(503, &seen.id()),
                &signal_header(harm.signal),
            ));
        }
        let mut ends = ends.lock().unwrap_or_else(sync::PoisonError::into_inner);
        ends.retain(|end| *end > now);
        if ends.len() >= SLOTS as usize + QUEUE {
            return Action::Write(backend::named_shed_response(503, &seen.id()));
        }
        let work = work(seen, harm, &mut ends, now);
        drop(ends);
        let (spoilt, status) = match harm.spoilt {
            Some(plan::Spoilt::Failed) => (harm.spoilt, FAILURES[number % FAILURES.len()]),
            other => (other.filter(|_| number % SPOILT_EVERY == 0), 200),
        };
        run(&name, seen, (spoilt, status, harm.signal), work, &book)
    }
}

/// All values of a header.
fn values(seen: &backend::ReceivedRequest, name: &str) -> Vec<String> {
    let lines = seen.head.lines().filter_map(|line| line.split_once(':'));
    lines
        .filter(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_string())
        .collect()
}

fn signal_header(signal: Option<plan::Signal>) -> String {
    match signal {
        Some(plan::Signal::Limit) => format!("Server-Limit: {LIMIT}\r\n"),
        Some(plan::Signal::Pause) => format!("Retry-After: {}\r\n", PAUSE.as_secs_f64()),
        Some(plan::Signal::Leave) => "Server-Leaving: 1\r\n".to_string(),
        None => String::new(),
    }
}

/// Time until a request is done: it waits for a slot first.
fn work(
    seen: &backend::ReceivedRequest,
    harm: Harm,
    ends: &mut Vec<book::At>,
    now: book::At,
) -> Duration {
    ends.sort_unstable();
    let busy = ends.len().saturating_sub(SLOTS as usize - 1);
    let begin = match busy {
        0 => now,
        behind => ends[behind - 1],
    };
    let alone = if seen.id().len().is_multiple_of(2) {
        WORK
    } else {
        MORE_WORK
    };
    let end = begin
        + if harm.is_slow {
            alone * SLOWDOWN
        } else {
            alone
        };
    ends.push(end);
    end - now
}

fn run(
    server: &str,
    seen: &backend::ReceivedRequest,
    (spoilt, status, signal): (Option<plan::Spoilt>, u16, Option<plan::Signal>),
    work: Duration,
    book: &book::Book,
) -> Action {
    let id = seen.id();
    let first_line = seen.head.lines().next().unwrap_or_default();
    let body = format!("{id} {first_line} {}", seen.body.len());
    let signature = format!("{server}.{id}");
    let run = book::Run {
        signature: signature.clone(),
        status,
        body: body.clone(),
    };
    book.with(|seen| seen.runs.entry(id.clone()).or_default().push(run));
    let whole = backend::with_headers(
        backend::signed_response(status, &id, &signature, &body),
        &signal_header(signal),
    );
    match spoilt {
        Some(plan::Spoilt::Lost) => Action::ResetAfter(work),
        Some(plan::Spoilt::Cut) => {
            let part = whole[..whole.len() - body.len() / 2].to_vec();
            Action::WriteAfterAndClose(work, part)
        }
        Some(plan::Spoilt::Doubled) => Action::WriteAfter(work, [whole.clone(), whole].concat()),
        Some(plan::Spoilt::Crossed) => Action::WriteAfter(
            work,
            backend::signed_response(200, "another", "none", &body),
        ),
        Some(plan::Spoilt::Failed) | None => Action::WriteAfter(work, whole),
    }
}
