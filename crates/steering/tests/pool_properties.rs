//! Invariants of the pool over random histories.

mod support;

use std::time;

use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::checked_pool;
use yuccatide_steering::{config, model, pool};

const WORK: [&str; 4] = ["stock-check", "reminder", "booking", "voucher"];
const SERVERS: [&str; 5] = ["stock-01", "stock-07", "stock-13", "order-01", "order-07"];

#[derive(Clone, Debug)]
enum Event {
    Submit {
        work: usize,
        count: usize,
        deadline_ms: u64,
    },
    Finish {
        nth: usize,
        count: usize,
        outcome: pool::AttemptOutcome,
    },
    StartResponse {
        nth: usize,
    },
    Cancel {
        nth: usize,
    },
    Advance {
        ms: u64,
    },
    Report {
        server: usize,
        in_use: u32,
        flags: u8,
        age_ms: u64,
    },
    SetOwned {
        servers: u8,
    },
    Drain {
        servers: u8,
    },
    Slots {
        slots: u32,
        connections: u32,
    },
    Share {
        share: f64,
        queue: u32,
    },
}

fn attempt_outcome() -> impl Strategy<Value = pool::AttemptOutcome> {
    let answered =
        (1..3000u64, any::<bool>()).prop_map(|(ms, ok)| pool::AttemptOutcome::Answered {
            latency: time::Duration::from_millis(ms),
            ok,
        });
    prop_oneof![
        6 => answered,
        1 => Just(pool::AttemptOutcome::Shed),
        1 => Just(pool::AttemptOutcome::ConnectFailed),
        1 => Just(pool::AttemptOutcome::Broken),
        1 => Just(pool::AttemptOutcome::TimedOut),
        1 => Just(pool::AttemptOutcome::Cancelled),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..4usize, 1..20usize, 1..6000u64)
            .prop_map(|(work, count, deadline_ms)| Event::Submit { work, count, deadline_ms }),
        6 => (0..50usize, 1..6usize, attempt_outcome())
            .prop_map(|(nth, count, outcome)| Event::Finish { nth, count, outcome }),
        1 => (0..50usize).prop_map(|nth| Event::StartResponse { nth }),
        1 => (0..50usize).prop_map(|nth| Event::Cancel { nth }),
        4 => (0..4000u64).prop_map(|ms| Event::Advance { ms }),
        2 => (0..5usize, 0..4u32, any::<u8>(), 0..20_000u64)
            .prop_map(|(server, in_use, flags, age_ms)| Event::Report { server, in_use, flags, age_ms }),
        1 => any::<u8>().prop_map(|servers| Event::SetOwned { servers }),
        1 => any::<u8>().prop_map(|servers| Event::Drain { servers }),
        1 => (1..6u32, 0..3u32)
            .prop_map(|(slots, more)| Event::Slots { slots, connections: slots + more }),
        1 => (0.0..0.5f64, 0..5u32).prop_map(|(share, queue)| Event::Share { share, queue }),
    ]
}

fn selected_servers(mask: u8) -> impl Iterator<Item = model::ServerId> {
    let servers = SERVERS.iter().enumerate();
    servers
        .filter(move |(i, _)| mask >> i & 1 == 1)
        .map(|(_, s)| s.to_string())
}

struct Events;

impl ReferenceStateMachine for Events {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Event> {
        event().boxed()
    }

    fn apply(_: (), _: &Event) {}
}

struct PoolTest;

impl StateMachineTest for PoolTest {
    type SystemUnderTest = checked_pool::CheckedPool;
    type Reference = Events;

    fn init_test(_: &()) -> checked_pool::CheckedPool {
        let start = time::Duration::from_secs(1_000_000);
        let mut pool = checked_pool::CheckedPool::new(support::document("lampolie"), start);
        pool.set_owned_servers(selected_servers(u8::MAX).collect());
        pool
    }

    fn apply(
        mut sut: checked_pool::CheckedPool,
        _: &(),
        event: Event,
    ) -> checked_pool::CheckedPool {
        match event {
            Event::Submit {
                work,
                count,
                deadline_ms,
            } => {
                let deadline = time::Duration::from_millis(deadline_ms);
                (0..count).for_each(|_| sut.submit(WORK[work], deadline));
            }
            Event::Finish {
                nth,
                count,
                outcome,
            } => {
                (0..count).for_each(|_| sut.finish(nth, outcome));
            }
            Event::StartResponse { nth } => sut.start_response(nth),
            Event::Cancel { nth } => sut.cancel(nth),
            Event::Advance { ms } => sut.advance(time::Duration::from_millis(ms)),
            Event::Report {
                server,
                in_use,
                flags,
                age_ms,
            } => {
                let report = pool::LoadReport {
                    in_use,
                    slots: u32::from(flags & 7),
                    healthy: flags & 8 == 0,
                    draining: flags & 0x70 == 0,
                    cold: flags & 0x80 == 0,
                    at: sut.now - time::Duration::from_millis(age_ms),
                };
                sut.report(SERVERS[server], report);
            }
            Event::SetOwned { servers } => {
                sut.set_owned_servers(selected_servers(servers).collect())
            }
            Event::Drain { servers } => {
                let mut doc = sut.doc.clone();
                let drain = |id: model::ServerId| config::Drain {
                    target: config::DrainTarget::Server(id),
                    empty_by: None,
                };
                doc.drains = selected_servers(servers)
                    .map(|id| (id.clone(), drain(id)))
                    .collect();
                doc.version += 1;
                sut.set_document(doc);
            }
            Event::Slots { slots, connections } => {
                let mut doc = sut.doc.clone();
                for service in doc.services.values_mut() {
                    (service.slots, service.connections) = (slots, connections);
                }
                doc.version += 1;
                sut.set_document(doc);
            }
            Event::Share { share, queue } => {
                let mut doc = sut.doc.clone();
                for work in doc.work.values_mut() {
                    (work.guaranteed_share, work.queue_per_slot) = (share, queue);
                }
                doc.version += 1;
                sut.set_document(doc);
            }
        }
        sut
    }

    fn check_invariants(sut: &checked_pool::CheckedPool, _: &()) {
        sut.check_invariants();
    }

    fn teardown(mut sut: checked_pool::CheckedPool, _: ()) {
        sut.finish_all();
        sut.check_invariants();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_over_random_histories(sequential 1..120 => PoolTest);
}
