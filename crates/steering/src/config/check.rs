//! Validation of documents.

use std::{collections, fmt};

use super::document;

/// A validation error and the field that causes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Validates a document and returns all problems.
pub fn check(doc: &document::Document) -> Vec<Problem> {
    [
        check_topology(doc),
        check_services(doc),
        check_servers(doc),
        check_work(doc),
        check_guaranteed_shares(doc),
        check_policies(doc),
        check_drains(doc),
        check_sites(doc),
        check_teams(doc),
    ]
    .concat()
}

fn problem(path: impl Into<String>, message: impl Into<String>) -> Problem {
    Problem {
        path: path.into(),
        message: message.into(),
    }
}

fn check_share(path: String, value: f64) -> Option<Problem> {
    let valid = value.is_finite() && (0.0..=1.0).contains(&value);
    (!valid).then(|| problem(path, "must be from 0 to 1"))
}

fn check_topology(doc: &document::Document) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut seen = collections::BTreeSet::new();
    for (region, r) in &doc.regions {
        for dc in r.data_centres.keys().filter(|dc| !seen.insert(*dc)) {
            let path = format!("regions.{region}.data_centres.{dc}");
            problems.push(problem(path, "the data centre is in another region too"));
        }
    }
    if seen.is_empty() {
        problems.push(problem("regions", "there is no data centre"));
    }
    problems.extend(check_share("link.share".to_string(), doc.link.share));
    problems.extend(check_shift_cap("shift", &doc.shift));
    if doc.lookup_ttl.is_zero() {
        problems.push(problem("lookup_ttl_ms", "must be above 0"));
    }
    problems
}

fn check_shift_cap(path: &str, cap: &document::ShiftCap) -> Vec<Problem> {
    let share = check_share(format!("{path}.share"), cap.share);
    let zero = (cap.share <= 0.0).then(|| problem(format!("{path}.share"), "must be above 0"));
    let interval = cap
        .interval
        .is_zero()
        .then(|| problem(format!("{path}.interval_ms"), "must be above 0"));
    [share, zero, interval].into_iter().flatten().collect()
}

fn check_services(doc: &document::Document) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (id, service) in &doc.services {
        if service.slots == 0 {
            problems.push(problem(format!("services.{id}.slots"), "must be above 0"));
        }
        if service.connections < service.slots {
            let path = format!("services.{id}.connections");
            problems.push(problem(path, "must be at least the number of slots"));
        }
        problems.extend(check_share(
            format!("services.{id}.target_use"),
            service.target_use,
        ));
    }
    problems
}

fn check_servers(doc: &document::Document) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (id, server) in &doc.servers {
        if !doc.services.contains_key(&server.service) {
            let message = format!("there is no service {}", server.service);
            problems.push(problem(format!("servers.{id}.service"), message));
        }
        if doc.region_of(&server.data_centre).is_none() {
            let message = format!("there is no data centre {}", server.data_centre);
            problems.push(problem(format!("servers.{id}.data_centre"), message));
        }
    }
    problems
}

fn check_work(doc: &document::Document) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (id, work) in &doc.work {
        if !doc.services.contains_key(&work.service) {
            let message = format!("there is no service {}", work.service);
            problems.push(problem(format!("work.{id}.service"), message));
        }
        if work.deadline.is_zero() {
            problems.push(problem(format!("work.{id}.deadline_ms"), "must be above 0"));
        }
        if !work.idempotent && !work.hedge_after.is_zero() {
            let path = format!("work.{id}.hedge_after_ms");
            problems.push(problem(path, "only idempotent work may be tried twice"));
        }
        if !work.idempotent && work.result_retention.is_zero() {
            let path = format!("work.{id}.result_retention_s");
            problems.push(problem(path, "must be above 0 for non-idempotent work"));
        }
        problems.extend(check_share(
            format!("work.{id}.guaranteed_share"),
            work.guaranteed_share,
        ));
        problems.extend(check_share(
            format!("work.{id}.retry_share"),
            work.retry_share,
        ));
    }
    problems
}

fn check_guaranteed_shares(doc: &document::Document) -> Vec<Problem> {
    let mut sums = collections::BTreeMap::<_, f64>::new();
    for work in doc.work.values() {
        *sums.entry(&work.service).or_default() += work.guaranteed_share;
    }
    sums.into_iter()
        .filter(|(_, sum)| *sum > 1.0 + 1e-9)
        .map(|(id, sum)| {
            let message = format!("the guaranteed shares of its work add up to {sum:.3}, above 1");
            problem(format!("services.{id}"), message)
        })
        .collect()
}

fn check_policies(doc: &document::Document) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut seen = collections::BTreeSet::new();
    for (id, policy) in &doc.policies {
        let path = |field: &str| format!("policies.{id}.{field}");
        if !doc.teams.contains_key(&policy.team) {
            problems.push(problem(
                path("team"),
                format!("there is no team {}", policy.team),
            ));
        }
        for work in &policy.work {
            if !doc.work.contains_key(work) {
                problems.push(problem(path("work"), format!("there is no work {work}")));
            }
            if !seen.insert(work) {
                problems.push(problem(
                    path("work"),
                    format!("{work} has another policy too"),
                ));
            }
        }
        for region in policy
            .regions
            .iter()
            .filter(|r| !doc.regions.contains_key(*r))
        {
            problems.push(problem(
                path("regions"),
                format!("there is no region {region}"),
            ));
        }
        for server in &policy.excluded_servers {
            if !doc.servers.contains_key(server) {
                let message = format!("there is no backend server {server}");
                problems.push(problem(path("excluded_servers"), message));
            }
        }
        if let Some(cap) = &policy.shift {
            problems.extend(check_shift_cap(&path("shift"), cap));
        }
    }
    problems
}

fn check_drains(doc: &document::Document) -> Vec<Problem> {
    let exists = |target: &document::DrainTarget| match target {
        document::DrainTarget::Host(_) => true,
        document::DrainTarget::Server(id) => doc.servers.contains_key(id),
        document::DrainTarget::DataCentre(id) => doc.region_of(id).is_some(),
    };
    doc.drains
        .iter()
        .filter(|(_, drain)| !exists(&drain.target))
        .map(|(id, _)| problem(format!("drains.{id}.target"), "is not in the topology"))
        .collect()
}

fn check_sites(doc: &document::Document) -> Vec<Problem> {
    let mut problems = Vec::new();
    if !doc.sites.contains_key(&doc.default_site) {
        let message = format!("there is no site {}", doc.default_site);
        problems.push(problem("default_site", message));
    }
    for (id, site) in &doc.sites {
        let path = format!("sites.{id}.data_centres");
        if site.data_centres.is_empty() {
            problems.push(problem(path.clone(), "must name a data centre"));
        }
        for dc in &site.data_centres {
            if doc.region_of(dc).is_none() {
                problems.push(problem(
                    path.clone(),
                    format!("there is no data centre {dc}"),
                ));
            }
        }
    }
    problems
}

fn check_teams(doc: &document::Document) -> Vec<Problem> {
    let is_sha256 = |hash: &str| hash.len() == 64 && hash.chars().all(|c| c.is_ascii_hexdigit());
    let mut problems = Vec::new();
    for (id, team) in &doc.teams {
        for (i, token) in team.tokens.iter().enumerate() {
            if !is_sha256(&token.sha256) {
                let path = format!("teams.{id}.tokens[{i}].sha256");
                problems.push(problem(path, "must be 64 hexadecimal digits"));
            }
        }
    }
    problems
}
