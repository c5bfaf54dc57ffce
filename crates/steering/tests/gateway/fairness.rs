//! Low-volume routes that share a service with an overloaded route.

use yuccatide_steering::gateway::{self, Decision, Outcome};

use crate::fixtures::{self, ms};

/// Requests of a route: served and total.
#[derive(Default)]
struct RequestCounts {
    served: u32,
    total: u32,
}

/// Simulates four seconds of overload by one route, and few requests of a new route with a lower
/// priority, whose deadlines may be shorter than its expected service time.
fn simulate(flood_rank: u32, rare: &gateway::Route) -> (RequestCounts, RequestCounts) {
    let mut dispatcher = fixtures::dispatcher();
    dispatcher
        .servers
        .upsert(fixtures::entry("s", "a1", 4), ms(0));
    let mut flood = fixtures::route("flood");
    flood.rank = flood_rank;
    let (mut rare_counts, mut flood_counts) = (RequestCounts::default(), RequestCounts::default());
    let mut running: Vec<(u64, gateway::Ticket)> = Vec::new();
    let mut rare_tickets = std::collections::HashSet::new();
    for at in 0..4000 {
        let now = ms(at);
        while let Some(done) = running.iter().position(|(end, _)| *end <= at) {
            let (_, ticket) = running.swap_remove(done);
            dispatcher.finish(ticket, Outcome::Answered, now);
        }
        if at % 10 == 0 {
            let mut req = fixtures::request(flood.clone(), at, now);
            req.deadline = now + ms(2000);
            dispatcher.submit(req);
            flood_counts.total += 1;
        }
        if at % 400 == 200 {
            let mut req = fixtures::request(rare.clone(), at, now);
            req.deadline = now + ms(900);
            rare_tickets.insert(dispatcher.submit(req));
            rare_counts.total += 1;
        }
        for (ticket, decision) in dispatcher.decide(now) {
            if let Decision::Send(..) = decision {
                running.push((at + 200, ticket));
                let counts = match rare_tickets.contains(&ticket) {
                    true => &mut rare_counts,
                    false => &mut flood_counts,
                };
                counts.served += 1;
            }
        }
    }
    (rare_counts, flood_counts)
}

#[test]
fn new_low_volume_route_is_served_under_overload() {
    let mut rare = fixtures::route("rare");
    rare.rank = 2;
    rare.has_affinity = false;
    rare.objective = ms(800);
    let (rare, flood) = simulate(1, &rare);
    let share = |counts: &RequestCounts| f64::from(counts.served) / f64::from(counts.total);
    assert!(flood.served > 0);
    assert!(
        share(&rare) >= 0.25 * share(&flood),
        "{} of {} beside {} of {}",
        rare.served,
        rare.total,
        flood.served,
        flood.total
    );
}

#[test]
fn starved_route_displaces_at_most_its_own_requests() {
    let mut rare = fixtures::route("rare");
    rare.rank = 2;
    let (_, flood) = simulate(0, &rare);
    // 4 slots at 200 ms per request serve 80 requests in 4 s, of which the rare route has at most
    // 10.
    assert!(flood.served >= 70, "{} served", flood.served);
}
