//! Entries that the store did seconds after newer ones, or that belong to an earlier incarnation.

use std::{collections, net};

use proptest::prelude::*;
use rstest::rstest;
use yuccatide_steering::gateway::{self, EntryOrder, ServerState};

use crate::fixtures::{self, ms};

/// Interval at which the servers renew their entries: the default of the set.
const RENEWAL_MS: u64 = 1500;

/// Time after which an outdated entry that stands is applied, and some more.
const LASTING_MS: u64 = 3 * RENEWAL_MS + 2000;

fn entry(incarnation: u64, sequence: u64, state: ServerState) -> gateway::ServerEntry {
    gateway::ServerEntry {
        incarnation,
        sequence: Some(sequence),
        state,
        ..fixtures::entry("s1", "a1", 9)
    }
}

fn ready(sequence: u64) -> gateway::ServerEntry {
    entry(1, sequence, ServerState::Ready)
}

fn draining(sequence: u64) -> gateway::ServerEntry {
    entry(1, sequence, ServerState::Draining)
}

/// How the entry that a store has reaches a host.
#[derive(Clone, Copy, Debug)]
enum Way {
    Watched,
    Listed,
    /// In a list of a store that has come back from an older copy.
    Restored,
}

fn read(dispatcher: &mut gateway::Dispatcher, way: Way, entry: gateway::ServerEntry, at: u64) {
    match way {
        Way::Watched => _ = dispatcher.register(entry, ms(at)),
        Way::Listed => _ = dispatcher.replace(vec![entry], ms(at)),
        Way::Restored => _ = dispatcher.replace_restored(vec![entry], ms(at)),
    }
}

/// Does what a host does from time to time.
fn tick(dispatcher: &mut gateway::Dispatcher, at: u64) {
    dispatcher.servers.remove_missing(ms(at));
    dispatcher.servers.apply_lasting(ms(at));
    dispatcher.expire_signals(ms(at));
}

/// Asks the servers for their status where that is due.
fn check(
    dispatcher: &mut gateway::Dispatcher,
    at: u64,
    stays: impl Fn(&gateway::ServerEntry) -> bool,
) {
    for (index, entry) in dispatcher.leaving_to_check(ms(at)) {
        dispatcher.record_check(index, &entry, !stays(&entry), ms(at));
    }
}

fn is_usable(dispatcher: &gateway::Dispatcher, at: u64) -> bool {
    dispatcher.usable_count(ms(at)) > 0
}

fn known(dispatcher: &gateway::Dispatcher) -> Option<gateway::ServerEntry> {
    let mut servers = dispatcher.servers.iter();
    servers.next().map(|(_, server)| server.entry.clone())
}

/// Guards against DRAIN: a heartbeat that the store does late, after the server has begun to leave,
/// made it ready again.
#[rstest]
fn a_draining_server_gets_no_request_after_an_earlier_heartbeat(
    #[values(Way::Watched, Way::Listed, Way::Restored)] way: Way,
    #[values(5, 8)] sequence: u64,
) {
    let mut dispatcher = fixtures::dispatcher();
    read(&mut dispatcher, way, ready(1), 0);
    read(&mut dispatcher, way, draining(8), 1000);
    read(&mut dispatcher, way, ready(sequence), 3750);
    for at in (3750..30_000).step_by(250) {
        tick(&mut dispatcher, at);
        check(&mut dispatcher, at, |_| false);
        assert!(!is_usable(&dispatcher, at), "at {at} ms");
    }
    read(&mut dispatcher, way, draining(11), 30_000);
    assert!(!is_usable(&dispatcher, 30_000));
}

/// Guards against the same after the entry was removed: a late heartbeat brings it back.
#[rstest]
fn a_removed_server_gets_no_request_when_a_late_heartbeat_brings_its_entry_back(
    #[values(Way::Watched, Way::Listed, Way::Restored)] way: Way,
    #[values(ServerState::Ready, ServerState::Draining)] last: ServerState,
    #[values((1, 5), (1, 100), (0, 100))] late: (u64, u64),
) {
    let mut dispatcher = fixtures::dispatcher();
    read(&mut dispatcher, way, ready(1), 0);
    read(&mut dispatcher, way, entry(1, 8, last), 1000);
    dispatcher.servers.remove("s1", ms(2000));
    // A removal right after the store's return is deferred.
    tick(&mut dispatcher, 3900);
    read(
        &mut dispatcher,
        way,
        entry(late.0, late.1, ServerState::Ready),
        4000,
    );
    for at in (4000..20_000).step_by(250) {
        tick(&mut dispatcher, at);
        check(&mut dispatcher, at, |_| false);
        assert!(!is_usable(&dispatcher, at), "at {at} ms");
    }
}

/// Guards against a host that starts after the late heartbeat was done: it has only the store's word
/// and that of other hosts.
#[test]
fn a_host_that_starts_hears_of_servers_whose_entries_are_back() {
    let mut witness = fixtures::dispatcher();
    read(&mut witness, Way::Watched, draining(8), 0);
    read(&mut witness, Way::Watched, ready(5), 1000);
    let mut starting = fixtures::dispatcher();
    read(&mut starting, Way::Listed, ready(5), 1200);
    let news = witness.leaving_news(ms(1300));
    starting.leaving_mut().adopt(&news, ms(1300));
    for at in (1300..8000).step_by(250) {
        tick(&mut starting, at);
        assert!(!is_usable(&starting, at), "at {at} ms");
    }
}

/// Guards against a mend that shuts out a server whose late write is the truth: its entry had lapsed,
/// and further heartbeats change nothing but their number, which the store does not report.
#[rstest]
fn a_server_whose_late_write_is_true_is_used_once_its_status_says_so(
    #[values(Way::Watched, Way::Listed, Way::Restored)] way: Way,
    #[values(5, 100)] sequence: u64,
) {
    let mut dispatcher = fixtures::dispatcher();
    read(&mut dispatcher, way, ready(8), 0);
    dispatcher.servers.remove("s1", ms(2000));
    tick(&mut dispatcher, 3900);
    read(&mut dispatcher, way, ready(sequence), 4000);
    // A server that leaves may still call itself well; its entry would not last.
    check(&mut dispatcher, 4000 + 3 * RENEWAL_MS, |_| true);
    assert!(!is_usable(&dispatcher, 4000 + 3 * RENEWAL_MS));
    // It may be busy at first.
    check(&mut dispatcher, 4000 + LASTING_MS, |_| false);
    check(&mut dispatcher, 7000 + LASTING_MS, |_| true);
    assert!(is_usable(&dispatcher, 7000 + LASTING_MS));
    read(&mut dispatcher, way, ready(sequence), 20_000);
    assert!(is_usable(&dispatcher, 20_000));
}

/// Guards against the same in an outage: the entry is missing, and an earlier write brings it back.
#[test]
fn a_server_that_an_earlier_write_brings_back_in_an_outage_is_used_once_its_status_says_so() {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher.register(ready(8), ms(0));
    dispatcher.servers.set_store_available(false, ms(1000));
    dispatcher.servers.set_store_available(false, ms(6000));
    dispatcher.servers.set_store_available(true, ms(6100));
    assert_eq!(
        dispatcher.servers.remove("s1", ms(6200)),
        gateway::Removal::Deferred
    );
    dispatcher.register(ready(5), ms(6500));
    assert!(!is_usable(&dispatcher, 6500));
    tick(&mut dispatcher, 9000);
    check(&mut dispatcher, 6500 + LASTING_MS, |_| true);
    assert!(is_usable(&dispatcher, 6500 + LASTING_MS));
}

/// Guards against a mend that shuts out a server that starts again under its id: its counts start
/// anew.
#[rstest]
#[case::after_draining(draining(80))]
#[case::while_ready(ready(80))]
fn a_restarted_server_is_used_at_once(#[case] before: gateway::ServerEntry) {
    for is_removed in [false, true] {
        let mut dispatcher = fixtures::dispatcher();
        dispatcher.register(before.clone(), ms(0));
        if is_removed {
            dispatcher.servers.remove("s1", ms(500));
        }
        let order = dispatcher.register(entry(2, 1, ServerState::Ready), ms(1000));
        assert_eq!(order, EntryOrder::Latest);
        assert!(is_usable(&dispatcher, 1000));
        // A late write of the lifetime before changes nothing.
        dispatcher.register(before.clone(), ms(1200));
        assert!(is_usable(&dispatcher, 1200));
        assert_eq!(known(&dispatcher).unwrap().incarnation, 2);
    }
}

/// A server that goes on after all says so in a later write.
#[test]
fn a_draining_server_that_writes_later_that_it_is_ready_is_used_at_once() {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher.register(draining(8), ms(0));
    assert_eq!(dispatcher.register(ready(9), ms(100)), EntryOrder::Latest);
    assert!(is_usable(&dispatcher, 100));
}

/// Guards against requests to an address, or in the name of a service or data centre, that an older
/// write brings back; and against a server that looks cold or larger than it is.
#[rstest]
#[case::address(|e: &mut gateway::ServerEntry| e.address = net::SocketAddr::from(([127, 0, 0, 1], 9001)))]
#[case::service(|e: &mut gateway::ServerEntry| e.service = "other".to_string())]
#[case::data_centre(|e: &mut gateway::ServerEntry| e.data_centre = "b1".to_string())]
#[case::slots(|e: &mut gateway::ServerEntry| e.slots = 90)]
#[case::warmup(|e: &mut gateway::ServerEntry| e.warmup_left = ms(3000))]
fn no_field_of_an_older_write_is_applied(
    #[case] change: impl Fn(&mut gateway::ServerEntry),
    #[values(Way::Watched, Way::Listed, Way::Restored)] way: Way,
    #[values((2, 5), (1, 100))] late: (u64, u64),
) {
    let newest = entry(2, 8, ServerState::Ready);
    let mut older = entry(late.0, late.1, ServerState::Ready);
    change(&mut older);
    let mut dispatcher = fixtures::dispatcher();
    read(&mut dispatcher, way, newest.clone(), 0);
    read(&mut dispatcher, way, older.clone(), 1000);
    tick(&mut dispatcher, 2500);
    assert_eq!(known(&dispatcher), Some(newest.clone()));
    // The server's next heartbeat, and what it says after that.
    read(&mut dispatcher, way, entry(2, 9, ServerState::Ready), 2500);
    tick(&mut dispatcher, 2500 + LASTING_MS);
    assert_eq!(known(&dispatcher), Some(entry(2, 9, ServerState::Ready)));
    // An older entry that stands has been renewed, whatever number another writer left before.
    read(&mut dispatcher, way, older.clone(), 20_000);
    tick(&mut dispatcher, 20_000 + LASTING_MS);
    assert_eq!(known(&dispatcher), Some(older.clone()));
    check(&mut dispatcher, 20_000 + LASTING_MS, |_| true);
    assert!(is_usable(&dispatcher, 30_000));
}

/// Guards against a server that is shut out for as long as hosts list the store again and again.
#[test]
fn an_older_entry_that_is_read_again_is_applied_in_time() {
    let older = gateway::ServerEntry {
        slots: 90,
        ..ready(5)
    };
    let mut dispatcher = fixtures::dispatcher();
    dispatcher.register(ready(8), ms(0));
    for at in (1000..1000 + LASTING_MS).step_by(500) {
        read(&mut dispatcher, Way::Listed, older.clone(), at);
        tick(&mut dispatcher, at);
    }
    assert_eq!(known(&dispatcher), Some(older));
}

/// Guards against an older entry that is applied since its removal could not be seen, or that the
/// store no longer has.
#[test]
fn an_older_entry_is_not_applied_while_its_removal_may_have_been_missed() {
    let older = gateway::ServerEntry {
        slots: 90,
        ..ready(5)
    };
    let mut dispatcher = fixtures::dispatcher();
    dispatcher.register(ready(8), ms(0));
    dispatcher.register(older.clone(), ms(1000));
    dispatcher
        .servers
        .set_store_available(false, ms(LASTING_MS));
    tick(&mut dispatcher, 1000 + LASTING_MS);
    assert_eq!(known(&dispatcher), Some(ready(8)));
    dispatcher
        .servers
        .set_store_available(true, ms(1100 + LASTING_MS));
    dispatcher.servers.remove("s1", ms(1200 + LASTING_MS));
    tick(&mut dispatcher, 60_000);
    assert_eq!(known(&dispatcher), None);
}

/// Guards against a server that has begun to leave and is forgotten since another writer spoils its
/// entry.
#[test]
fn a_spoilt_entry_tells_nothing_of_whether_its_server_leaves() {
    for (before, expected) in [
        (ready(8), EntryOrder::Latest),
        (draining(8), EntryOrder::AfterDeparture),
    ] {
        let mut dispatcher = fixtures::dispatcher();
        dispatcher.register(before, ms(0));
        dispatcher.servers.remove_unreadable("s1", ms(100));
        assert_eq!(known(&dispatcher), None);
        assert_eq!(dispatcher.register(ready(5), ms(200)), expected);
    }
}

/// Guards against memory that grows with the servers that have left.
#[test]
fn only_the_last_servers_that_left_are_remembered() {
    let mut servers = gateway::ServerSet::default();
    let named = |i: u64| fixtures::entry(&format!("s{i}"), "a1", 9);
    for i in 0..5000 {
        servers.upsert(named(i), ms(i));
        servers.remove(&format!("s{i}"), ms(i));
    }
    assert_eq!(servers.upsert(named(0), ms(5000)), EntryOrder::Latest);
    assert_eq!(
        servers.upsert(named(4999), ms(5000)),
        EntryOrder::AfterDeparture
    );
}

/// A backend server as the history of a run has it.
#[derive(Debug, Default)]
struct Backend {
    incarnation: u64,
    sequence: u64,
    is_running: bool,
    is_draining: bool,
    slots: u32,
}

impl Backend {
    fn write(&mut self) -> gateway::ServerEntry {
        self.sequence += 1;
        let state = match self.is_draining {
            true => ServerState::Draining,
            false => ServerState::Ready,
        };
        gateway::ServerEntry {
            slots: self.slots,
            ..entry(self.incarnation, self.sequence, state)
        }
    }
}

/// What happens in one step of half a second.
#[derive(Clone, Copy, Debug)]
enum Step {
    Nothing,
    /// The next write is done this many steps late.
    Late(u64),
    /// The next write is lost.
    Lost,
    /// Another number of slots.
    Slots(u32),
    Drain,
    /// It leaves, and its entry is removed.
    Leave,
    /// It ends without a word.
    Crash,
    Restart,
    /// The host lists the store.
    List,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => Just(Step::Nothing),
        4 => (2_u64..=12).prop_map(Step::Late),
        2 => Just(Step::Lost),
        2 => (1_u32..4).prop_map(Step::Slots),
        1 => Just(Step::Drain),
        1 => Just(Step::Leave),
        1 => Just(Step::Crash),
        2 => Just(Step::Restart),
        2 => Just(Step::List),
    ];
    prop::collection::vec(step, 0..60)
}

proptest! {
    #![proptest_config(fixtures::config())]

    /// Guards against both sides: a host that has seen a server leave takes no older word for a newer
    /// one, and half a minute after the last disturbance it knows the truth, however the store has
    /// mixed up the writes.
    #[test]
    fn a_server_that_has_left_stays_so_and_one_that_runs_is_known_in_the_end(steps in steps()) {
        let mut dispatcher = fixtures::dispatcher();
        dispatcher.servers.set_store_available(true, ms(0));
        let mut server = Backend { slots: 2, ..Backend::default() };
        let mut next_write = None;
        // Writes that are not done yet, by the step in which they are.
        let mut pending: collections::BTreeMap<u64, Vec<gateway::ServerEntry>> = Default::default();
        let mut stored: Option<gateway::ServerEntry> = None;
        let mut renewed_at = 0;
        // Newest incarnation that the host has seen to leave.
        let mut seen_to_leave = None;
        let calm = steps.len() as u64;
        for step in 0..calm + 60 {
            let at = step * 500;
            match steps.get(step as usize).copied().unwrap_or(Step::Nothing) {
                Step::Nothing => {}
                Step::Late(_) | Step::Lost => next_write = steps.get(step as usize).copied(),
                Step::Slots(slots) => server.slots = slots,
                Step::Drain => server.is_draining = true,
                Step::Leave if server.is_running => {
                    server.is_running = false;
                    if let Some(removed) = stored.take() {
                        dispatcher.servers.remove("s1", ms(at));
                        seen_to_leave = Some(removed.incarnation);
                    }
                }
                Step::Crash => server.is_running = false,
                Step::Restart => {
                    let incarnation = server.incarnation + 1;
                    server = Backend { incarnation, is_running: true, slots: 2, ..Backend::default() };
                }
                Step::List => _ = dispatcher.replace(stored.clone().into_iter().collect(), ms(at)),
                Step::Leave => {}
            }
            if server.is_running && (at.is_multiple_of(RENEWAL_MS) || server.sequence == 0) {
                let written = server.write();
                let due = match next_write.take() {
                    Some(Step::Late(steps)) => Some(step + steps),
                    Some(Step::Lost) => None,
                    _ => Some(step),
                };
                if let Some(due) = due {
                    pending.entry(due).or_default().push(written);
                }
            }
            for written in pending.remove(&step).unwrap_or_default() {
                renewed_at = at;
                let content = |e: &gateway::ServerEntry| gateway::ServerEntry { sequence: None, ..e.clone() };
                let has_changed = stored.as_ref().map(content) != Some(content(&written));
                if has_changed {
                    if written.state == ServerState::Draining {
                        seen_to_leave = seen_to_leave.max(Some(written.incarnation));
                    }
                    stored = Some(written.clone());
                    dispatcher.register(written, ms(at));
                }
            }
            if stored.is_some() && at > renewed_at + 3 * RENEWAL_MS {
                stored = None;
                dispatcher.servers.remove("s1", ms(at));
            }
            tick(&mut dispatcher, at);
            let stays = server.is_running && !server.is_draining;
            check(&mut dispatcher, at, |_| stays);
            if !stays && seen_to_leave == Some(server.incarnation) {
                prop_assert!(!is_usable(&dispatcher, at), "at {} ms", at);
            }
        }
        let end = (calm + 59) * 500;
        let stays = server.is_running && !server.is_draining;
        prop_assert_eq!(is_usable(&dispatcher, end), stays);
        if stays {
            let known = known(&dispatcher).unwrap();
            prop_assert_eq!((known.incarnation, known.slots), (server.incarnation, server.slots));
        }
    }
}
