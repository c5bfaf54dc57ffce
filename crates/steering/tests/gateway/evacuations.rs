//! Evacuated data centres when the store comes back from an older copy.

use std::collections;

use yuccatide_steering::gateway;

use crate::fixtures::ms;

fn set(names: &[&str]) -> collections::BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Guards against requests to a data centre whose evacuation the store has lost.
#[test]
fn a_lost_evacuation_holds_until_operators_had_time_to_write_again() {
    let mut evacuations = gateway::Evacuations::default();
    evacuations.replace(set(&["a1"]));
    evacuations.replace_restored(set(&[]), ms(9000));
    assert_eq!(evacuations.in_force(ms(11_000)), set(&["a1"]));
    assert_eq!(evacuations.in_force(ms(11_400)), set(&[]));
    evacuations.set("a1".to_string(), true);
    assert_eq!(evacuations.in_force(ms(11_400)), set(&["a1"]));
}

/// Guards against a data centre that stands still because its evacuation, taken back since, is back.
#[test]
fn an_evacuation_that_was_taken_back_does_not_return_at_once() {
    let mut evacuations = gateway::Evacuations::default();
    evacuations.set("a1".to_string(), true);
    evacuations.set("a1".to_string(), false);
    evacuations.replace_restored(set(&["a1", "b1"]), ms(9000));
    assert_eq!(evacuations.in_force(ms(9000)), set(&[]));
    // The operator takes one back again, and not the other.
    evacuations.set("a1".to_string(), false);
    assert_eq!(evacuations.in_force(ms(11_400)), set(&["b1"]));
}

#[test]
fn what_operators_write_after_the_return_holds_at_once() {
    let mut evacuations = gateway::Evacuations::default();
    evacuations.replace(set(&["a1", "a2"]));
    evacuations.replace_restored(set(&["b1"]), ms(9000));
    evacuations.set("a1".to_string(), false);
    evacuations.set("b1".to_string(), true);
    assert_eq!(evacuations.in_force(ms(9100)), set(&["a2", "b1"]));
    // A list of the same history shows a change as well.
    evacuations.replace(set(&["b1", "a2"]));
    evacuations.replace(set(&["b1"]));
    assert_eq!(evacuations.in_force(ms(9200)), set(&["b1"]));
}
