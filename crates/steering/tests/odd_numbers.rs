//! Numbers from outside, up to the ends of their types, in documents and in messages of hosts.

mod support;

use std::{sync, time};

use proptest::prelude::*;
use yuccatide_standins::odd_numbers::with_numbers;
use yuccatide_steering::{capacity, config, dedup, drain, model, pool, steer};

/// 2026-03-12 03:04:05 UTC.
const NOW: model::Time = model::Time::from_secs(1_773_284_645);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1500,
        rng_seed: prop::test_runner::RngSeed::Fixed(48),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Counts at and around the ends of their type.
fn count() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(u32::MAX), 0_u32..9, any::<u32>()]
}

fn capacity() -> impl Strategy<Value = capacity::Capacity> {
    (count(), count(), count()).prop_map(|(slots, in_use, queued)| capacity::Capacity {
        slots,
        in_use,
        queued,
    })
}

/// A pool runs requests of each kind of work, and reports of its servers arrive.
fn run(doc: &config::Document, in_use: u32) {
    let mut pool = pool::Pool::new(sync::Arc::new(doc.clone()), "host-0", 7, NOW);
    pool.set_owned_servers(doc.servers.keys().cloned().collect(), NOW);
    for (id, (name, work)) in doc.work.iter().enumerate() {
        let now = NOW + id as u32 * time::Duration::from_millis(20);
        for server in doc.servers.keys() {
            let report = pool::LoadReport {
                in_use,
                slots: in_use / 2,
                healthy: true,
                draining: false,
                cold: true,
                at: now,
            };
            pool.report(server, report, now);
        }
        let meta = support::request(id as u128, name, now + work.deadline);
        pool.submit(meta, now);
        pool.tick(now + time::Duration::from_secs(3));
        pool.snapshot();
        pool.capacity(&work.service);
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn odd_documents_are_refused_or_used(
        text in with_numbers(serde_json::json!(support::document("lampolie"))),
        in_use in count(),
    ) {
        let Ok(doc) = config::Document::from_json(&text) else {
            return Ok(());
        };
        if !config::check(&doc).is_empty() {
            return Ok(());
        }
        run(&doc, in_use);
        for data_centre in doc.regions.values().flat_map(|r| r.data_centres.keys()) {
            let target = config::DrainTarget::DataCentre(data_centre.clone());
            let drain = config::Drain { target, empty_by: Some(NOW) };
            drain::plan(&doc, &drain, NOW);
        }
    }

    #[test]
    fn odd_capacities_and_grants_are_used_without_overflow(
        own in capacity(), milli_slots in prop::collection::vec(count(), 3), queue in count(),
    ) {
        let mut issued = capacity::IssuedGrants::new(7);
        issued.set_capacity("test-log", own, NOW);
        for (i, milli_slots) in milli_slots.iter().enumerate() {
            let requester = capacity::Requester {
                host: format!("h{i}"),
                region: None,
                service: "test-log".to_string(),
                rank: model::Rank::Late,
            };
            issued.enqueue(requester, capacity::GrantRequest {
                work: "history".to_string(),
                number: u64::MAX,
                milli_slots: *milli_slots,
                bytes_per_s: u64::MAX,
                held_bytes_per_s: u64::MAX,
            });
        }
        for (host, grant) in issued.issue_queued(|_| 0, NOW) {
            issued.accept(&host, "history", grant.id, queue, NOW);
        }
        issued.set_capacity("test-log", own, NOW);
    }
}

/// Guards against hosts that panic at what another host names as a retention or a demand.
#[test]
fn messages_with_odd_numbers_are_malformed() {
    let record = |retention| dedup::Message::Record {
        key: model::IdempotencyKey {
            home: "h".to_string(),
            incarnation: 1,
            minted_unix_ms: 1,
            witness: None,
            token: String::new(),
        },
        fingerprint: 1,
        retention,
    };
    let is_read = |retention| {
        let bytes = postcard::to_allocvec(&record(retention)).unwrap();
        postcard::from_bytes::<dedup::Message>(&bytes).is_ok()
    };
    assert!(is_read(time::Duration::from_secs(86_400)));
    assert!(!is_read(time::Duration::MAX));
    for demand_slots in [f64::NAN, f64::INFINITY, -1.0] {
        let load = steer::Load {
            demand_slots,
            ..steer::Load::default()
        };
        let bytes = postcard::to_allocvec(&load).unwrap();
        assert!(postcard::from_bytes::<steer::Load>(&bytes).is_err());
    }
}
