//! Which connection of a client is closed where memory or descriptors are short.

use std::{net, time};

use yuccatide_steering::clients::{ConnectionTable, Phase, Progress};

const MAX: usize = 4;

fn address(last: u8) -> net::IpAddr {
    net::IpAddr::from([127, 0, 0, last])
}

fn at(seconds: u64) -> time::Duration {
    time::Duration::from_secs(100 + seconds)
}

/// A table that is full of connections of one address, each a second younger than the one before.
fn full() -> ConnectionTable {
    let mut table = ConnectionTable::new(MAX);
    for i in 0..MAX as u64 {
        assert_eq!(table.open(address(1), at(i)), Some(i));
    }
    table
}

#[test]
fn no_connection_is_closed_below_the_bound() {
    let mut table = full();
    table.remove(2);
    assert_eq!(table.open(address(1), at(9)), Some(4));
    assert_eq!(table.open(address(1), at(9)), None);
}

#[test]
fn the_longest_silent_connection_of_the_address_with_the_most_is_closed() {
    let mut table = ConnectionTable::new(MAX);
    table.open(address(2), at(0));
    (1..4).for_each(|i| _ = table.open(address(1), at(i)));
    assert_eq!(table.close_for_another(at(9)), Some(1));
}

#[test]
fn a_connection_is_kept_while_a_server_works_or_the_transfer_goes_on() {
    let mut table = full();
    table.enter(0, Phase::Working, at(4));
    table.enter(1, Phase::Receiving, at(4));
    table.enter(2, Phase::Streaming, at(4));
    table.enter(3, Phase::Answering, at(4));
    for second in 5..30 {
        (1..4).for_each(|id| table.record(id, 2000, at(second)));
        assert_eq!(table.close_for_another(at(second)), None, "at {second} s");
    }
    assert_eq!(table.open(address(2), at(30)), None);
}

/// A client that sends a byte each second is as slow as one that has stopped.
#[test]
fn a_byte_now_and_then_is_no_progress() {
    let mut progress = Progress::new(at(0));
    for second in 1..60 {
        progress.record(1, at(second));
        assert_eq!(progress.is_slow(at(second)), second > 3, "at {second} s");
    }
}

#[test]
fn a_transfer_that_stops_late_becomes_slow() {
    let mut progress = Progress::new(at(0));
    (1..=10).for_each(|second| progress.record(100_000, at(second)));
    assert!(!progress.is_slow(at(11)));
    assert!(progress.is_slow(at(14)));
}

#[test]
fn only_slow_transfers_are_closed_for_memory_and_only_slow_streams_for_servers() {
    let mut table = full();
    table.enter(1, Phase::Receiving, at(4));
    table.enter(2, Phase::Streaming, at(5));
    assert_eq!(table.close_slow(at(6)), None);
    assert_eq!(table.close_slow_stream(at(9)), Some(2));
    assert_eq!(table.close_slow_stream(at(9)), None);
    assert_eq!(table.close_slow(at(9)), Some(1));
    assert_eq!(table.close_slow(at(9)), None);
    assert_eq!(table.len(), 2);
}

/// The answer to an earlier request may be read after the next request began.
#[test]
fn the_end_of_an_answer_does_not_end_the_next_request() {
    let mut table = full();
    table.enter(0, Phase::Working, at(4));
    table.leave(0, Phase::Answering, Phase::Silent, at(5));
    assert_eq!(table.close_for_another(at(6)), Some(1));
    assert_eq!(table.close_for_another(at(6)), Some(2));
    assert_eq!(table.close_for_another(at(6)), Some(3));
    assert_eq!(table.close_for_another(at(6)), None);
}
