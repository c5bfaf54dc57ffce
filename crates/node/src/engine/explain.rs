//! Why a request goes where it goes.

use std::net;

use yuccatide_steering::{admin, config, model, steer};

use super::engine;
use crate::callers;

impl engine::Engine {
    /// Explains the way of a request, without sending it.
    pub fn explain(
        &self,
        client: net::IpAddr,
        work: &str,
    ) -> Result<admin::Explain, callers::Error> {
        let doc = self.document().ok_or(callers::Error::NotReady)?;
        let cfg = doc
            .work
            .get(work)
            .ok_or_else(|| callers::Error::Work(work.to_string()))?;
        let answer = self.lookup(client, work)?;
        let origin = self.origin(client);
        let state = self.lock();
        let active = state.active.as_ref().ok_or(callers::Error::NotReady)?;
        let status = active.steer.status(self.now());
        let flow = status
            .flows
            .iter()
            .find(|flow| flow.work == work && flow.origin == origin);
        Ok(admin::Explain {
            client,
            work: work.to_string(),
            site: answer.site.clone(),
            version: doc.version,
            hosts: answer.hosts.iter().map(|h| h.host.clone()).collect(),
            candidates: doc
                .data_centres()
                .map(|dc| candidate(&doc, work, dc, &origin, flow))
                .collect(),
            steps: steps(&doc, cfg, &origin, &status, flow),
        })
    }
}

fn candidate(
    doc: &config::Document,
    work: &str,
    data_centre: &str,
    origin: &str,
    flow: Option<&steer::FlowStatus>,
) -> admin::Candidate {
    let local = f64::from(u8::from(data_centre == origin));
    let share = flow.map_or(local, |f| f.shares.get(data_centre).copied().unwrap_or(0.0));
    let region = doc.region_of(data_centre);
    let allowed = region.is_some_and(|region| doc.allows_region(work, region));
    let reason = match (allowed, data_centre == origin) {
        (false, _) => "the policy does not allow its region".to_string(),
        (true, true) => "home data centre of the client".to_string(),
        (true, false) => {
            let latency = doc.latency_between(origin, data_centre);
            format!("{:.1} ms one way", latency.as_secs_f64() * 1000.0)
        }
    };
    admin::Candidate {
        data_centre: data_centre.to_string(),
        share,
        target: share,
        reason,
    }
}

fn steps(
    doc: &config::Document,
    work: &config::Work,
    origin: &model::DataCentreId,
    status: &steer::Status,
    flow: Option<&steer::FlowStatus>,
) -> Vec<admin::Step> {
    let step = |stage: &str, decision: String| admin::Step {
        stage: stage.to_string(),
        decision,
    };
    let moving = match flow.and_then(|flow| Some((flow.cause?, flow.left))) {
        Some((cause, left)) => format!("{:.0}% are still to be moved: {cause:?}", left * 100.0),
        None => "no traffic is being moved".to_string(),
    };
    let kept = status.kept.get(&work.service).copied().unwrap_or(1.0);
    let servers = doc.servers.values();
    let servers = servers.filter(|s| s.service == work.service && s.data_centre == *origin);
    vec![
        step("look-up", format!("home data centre {origin}")),
        step("shift", moving),
        step(
            "capacity",
            format!("{:.0}% of the local demand is served locally", kept * 100.0),
        ),
        step(
            "admission",
            format!(
                "rank {}, {:.0}% of the slots of service {} guaranteed",
                work.rank.as_str(),
                work.guaranteed_share * 100.0,
                work.service
            ),
        ),
        step(
            "backend server",
            format!("{} servers of the service in {origin}", servers.count()),
        ),
    ]
}
