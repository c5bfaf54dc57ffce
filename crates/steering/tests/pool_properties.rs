//! The pool's promises over random histories.

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
    Offer {
        work: usize,
        count: usize,
        deadline_ms: u64,
    },
    Finish {
        nth: usize,
        count: usize,
        finish: pool::AttemptOutcome,
    },
    Respond {
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
    Own {
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

fn finish() -> impl Strategy<Value = pool::AttemptOutcome> {
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
            .prop_map(|(work, count, deadline_ms)| Event::Offer { work, count, deadline_ms }),
        6 => (0..50usize, 1..6usize, finish())
            .prop_map(|(nth, count, finish)| Event::Finish { nth, count, finish }),
        1 => (0..50usize).prop_map(|nth| Event::Respond { nth }),
        1 => (0..50usize).prop_map(|nth| Event::Cancel { nth }),
        4 => (0..4000u64).prop_map(|ms| Event::Advance { ms }),
        2 => (0..5usize, 0..4u32, any::<u8>(), 0..20_000u64)
            .prop_map(|(server, in_use, flags, age_ms)| Event::Report { server, in_use, flags, age_ms }),
        1 => any::<u8>().prop_map(|servers| Event::Own { servers }),
        1 => any::<u8>().prop_map(|servers| Event::Drain { servers }),
        1 => (1..6u32, 0..3u32)
            .prop_map(|(slots, more)| Event::Slots { slots, connections: slots + more }),
        1 => (0.0..0.5f64, 0..5u32).prop_map(|(share, queue)| Event::Share { share, queue }),
    ]
}

fn picked(mask: u8) -> impl Iterator<Item = model::ServerId> {
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
        pool.own(picked(u8::MAX).collect());
        pool
    }

    fn apply(
        mut sut: checked_pool::CheckedPool,
        _: &(),
        event: Event,
    ) -> checked_pool::CheckedPool {
        match event {
            Event::Offer {
                work,
                count,
                deadline_ms,
            } => {
                let deadline = time::Duration::from_millis(deadline_ms);
                (0..count).for_each(|_| sut.submit(WORK[work], deadline));
            }
            Event::Finish { nth, count, finish } => {
                (0..count).for_each(|_| sut.finish(nth, finish));
            }
            Event::Respond { nth } => sut.respond(nth),
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
            Event::Own { servers } => sut.own(picked(servers).collect()),
            Event::Drain { servers } => {
                let mut doc = sut.doc.clone();
                let drain = |id: model::ServerId| config::Drain {
                    target: config::DrainTarget::Server(id),
                    empty_by: None,
                };
                doc.drains = picked(servers).map(|id| (id.clone(), drain(id))).collect();
                doc.version += 1;
                sut.configure(doc);
            }
            Event::Slots { slots, connections } => {
                let mut doc = sut.doc.clone();
                for service in doc.services.values_mut() {
                    (service.slots, service.connections) = (slots, connections);
                }
                doc.version += 1;
                sut.configure(doc);
            }
            Event::Share { share, queue } => {
                let mut doc = sut.doc.clone();
                for work in doc.work.values_mut() {
                    (work.guaranteed_share, work.queue_per_slot) = (share, queue);
                }
                doc.version += 1;
                sut.configure(doc);
            }
        }
        sut
    }

    fn check_invariants(sut: &checked_pool::CheckedPool, _: &()) {
        sut.check_state();
    }

    fn teardown(mut sut: checked_pool::CheckedPool, _: ()) {
        sut.wind_up();
        sut.check_state();
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
    fn every_promise_holds_over_random_histories(sequential 1..120 => PoolTest);
}
