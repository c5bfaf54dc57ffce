//! Callers that send requests at steady rates.

use std::{
    mem, sync,
    sync::atomic,
    time::{Duration, Instant},
};

use bytes::Bytes;
use yuccatide_standins::caller;
use yuccatide_steering::{config, model};

use super::record::{Phase, Record};
use crate::fleet;

const TICK: Duration = Duration::from_millis(10);
const ATTEMPTS: u32 = 4;

/// Callers of all data centres.
pub struct Traffic {
    callers: Vec<sync::Arc<caller::Caller>>,
    records: sync::Arc<sync::Mutex<Vec<Record>>>,
    sequence: sync::Arc<atomic::AtomicU64>,
    tasks: tokio::task::JoinSet<()>,
}

/// Requests of one kind, as many per second from each data centre.
#[derive(Clone)]
struct Stream {
    callers: Vec<sync::Arc<caller::Caller>>,
    records: sync::Arc<sync::Mutex<Vec<Record>>>,
    sequence: sync::Arc<atomic::AtomicU64>,
    work: model::WorkId,
    idempotent: bool,
    deadline: Duration,
    phase: Phase,
}

impl Traffic {
    /// Callers near each data centre.
    pub fn new(fleet: &fleet::Fleet) -> Traffic {
        let entry_hosts = |dc: &String| {
            let near = fleet.hosts.iter().filter(|host| host.data_centre == *dc);
            let far = fleet.hosts.iter().filter(|host| host.data_centre != *dc);
            near.chain(far).map(|host| host.callers).collect()
        };
        let callers = fleet.data_centres().into_iter().enumerate().map(|(i, dc)| {
            sync::Arc::new(caller::Caller::new(caller::Config {
                entry_hosts: entry_hosts(&dc),
                client: fleet::client_address(i),
                attempts: ATTEMPTS,
                seed: i as u64,
            }))
        });
        Traffic {
            callers: callers.collect(),
            records: sync::Arc::default(),
            sequence: sync::Arc::default(),
            tasks: tokio::task::JoinSet::new(),
        }
    }

    /// Sends every kind of work at `rate(work)` requests per second in all, for `duration`.
    pub async fn run(
        &mut self,
        doc: &config::Document,
        phase: Phase,
        duration: Duration,
        rate: impl Fn(&config::Work) -> f64,
    ) {
        for (id, work) in &doc.work {
            let stream = Stream {
                callers: self.callers.clone(),
                records: self.records.clone(),
                sequence: self.sequence.clone(),
                work: id.clone(),
                idempotent: work.idempotent,
                deadline: work.deadline,
                phase,
            };
            self.tasks.spawn(stream.send(rate(work), duration));
        }
        tokio::time::sleep(duration).await;
    }

    /// Waits for all answers and returns what became of the requests.
    pub async fn finish(&mut self) -> Vec<Record> {
        while self.tasks.join_next().await.is_some() {}
        mem::take(&mut *self.records.lock().expect("no thread panics with the lock"))
    }

    /// Answers that carried another request's id.
    pub fn crossed(&self) -> u64 {
        self.callers.iter().map(|caller| caller.crossed()).sum()
    }
}

impl Stream {
    async fn send(self, rate: f64, duration: Duration) {
        let start = Instant::now();
        let mut sent = 0;
        let mut pending = tokio::task::JoinSet::new();
        let mut interval = tokio::time::interval(TICK);
        while start.elapsed() < duration {
            interval.tick().await;
            let due = (start.elapsed().as_secs_f64() * rate) as u64;
            for i in sent..due {
                let caller = self.callers[i as usize % self.callers.len()].clone();
                pending.spawn(self.clone().exchange(caller));
            }
            sent = due;
            while pending.try_join_next().is_some() {}
        }
        while pending.join_next().await.is_some() {}
    }

    async fn exchange(self, caller: sync::Arc<caller::Caller>) {
        let number = self.sequence.fetch_add(1, atomic::Ordering::Relaxed);
        let path = format!("{}/{number}", self.work);
        let body = Bytes::from(format!("body of {number}"));
        let request = caller::Request {
            work: self.work.clone(),
            path: path.clone(),
            body: body.clone(),
            idempotent: self.idempotent,
            deadline: self.deadline,
        };
        let answer = caller.send(&request).await;
        let expected = [b"/", path.as_bytes(), b"\n", &body].concat();
        let record = Record {
            work: self.work,
            path: format!("/{path}"),
            phase: self.phase,
            latency: answer.latency,
            outcome: answer.outcome,
            reason: answer.reason,
            failed: answer.status.is_some_and(|status| !status.is_success()),
            whole: answer.body == expected,
        };
        let mut records = self.records.lock().expect("no thread panics with the lock");
        records.push(record);
    }
}
