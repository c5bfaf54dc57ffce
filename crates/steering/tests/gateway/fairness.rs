//! Routes with few requests beside a flood of others.

use yuccatide_steering::gateway::{self, Decision, Outcome};

use crate::fixtures::{self, ms};

/// Requests of a route that were served, of all.
#[derive(Default)]
struct Tally {
    served: u32,
    all: u32,
}

/// Plays two seconds: a flood of one route, and few requests of a less urgent one that was just
/// added and leaves less time than the expected work.
fn play(flood_rank: u32, rare: &gateway::Route) -> (Tally, Tally) {
    let mut pool = fixtures::pool();
    pool.servers.upsert(fixtures::entry("s", "a1", 4), ms(0));
    let mut flood = fixtures::route("flood");
    flood.rank = flood_rank;
    let (mut rare_tally, mut flood_tally) = (Tally::default(), Tally::default());
    let mut running: Vec<(u64, gateway::Ticket)> = Vec::new();
    let mut rare_tickets = std::collections::HashSet::new();
    for at in 0..4000 {
        let now = ms(at);
        while let Some(done) = running.iter().position(|(end, _)| *end <= at) {
            let (_, ticket) = running.swap_remove(done);
            pool.finish(ticket, Outcome::Answered, now);
        }
        if at % 10 == 0 {
            let mut req = fixtures::request(flood.clone(), at, now);
            req.deadline = now + ms(2000);
            pool.submit(req);
            flood_tally.all += 1;
        }
        if at % 400 == 200 {
            let mut req = fixtures::request(rare.clone(), at, now);
            req.deadline = now + ms(900);
            rare_tickets.insert(pool.submit(req));
            rare_tally.all += 1;
        }
        for (ticket, decision) in pool.decide(1, now) {
            if let Decision::Send(..) = decision {
                running.push((at + 200, ticket));
                let tally = match rare_tickets.contains(&ticket) {
                    true => &mut rare_tally,
                    false => &mut flood_tally,
                };
                tally.served += 1;
            }
        }
    }
    (rare_tally, flood_tally)
}

#[test]
fn a_route_that_was_just_added_is_served_in_a_flood() {
    let mut rare = fixtures::route("rare");
    rare.rank = 2;
    rare.has_affinity = false;
    rare.objective = ms(800);
    let (rare, flood) = play(1, &rare);
    let share = |tally: &Tally| f64::from(tally.served) / f64::from(tally.all);
    assert!(flood.served > 0);
    assert!(
        share(&rare) >= 0.25 * share(&flood),
        "{} of {} beside {} of {}",
        rare.served,
        rare.all,
        flood.served,
        flood.all
    );
}

#[test]
fn a_starved_route_takes_no_more_than_its_part() {
    let mut rare = fixtures::route("rare");
    rare.rank = 2;
    let (_, flood) = play(0, &rare);
    // 4 slots and 200 ms each allow 80 in four seconds; the rare route may take up to its ten.
    assert!(flood.served >= 70, "{}", flood.served);
}
