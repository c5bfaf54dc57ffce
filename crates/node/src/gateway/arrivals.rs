//! Demand that arrives.

use std::{collections, net, time};

use yuccatide_steering::{gateway, model};

/// Interval over which arrivals are counted.
pub(super) const INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Weight of a new count in the moving average; it follows demand within about three seconds.
const WEIGHT: f64 = 0.2;

/// Intervals after the first request before which the averages tell too little.
const MEASURED: u32 = 4;

/// Blocks of callers that a host remembers; of more it takes the callers for its own.
const MAX_BLOCKS: usize = 4096;

/// Blocks of callers that a host tells others of; they fit a datagram.
const MAX_TOLD: usize = 256;

/// Service, data centre of the callers, and regions that may serve the route.
type Key = (model::ServiceId, model::DataCentreId, Vec<model::RegionId>);

/// Demand for each service from the callers of each data centre.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Data centres of blocks of callers, as their look-ups name them.
    blocks: collections::BTreeMap<net::IpAddr, model::DataCentreId>,
    /// Seconds of work of the present interval.
    work: collections::BTreeMap<Key, f64>,
    /// Moving averages of the work a second, that is of slots.
    slots: collections::BTreeMap<Key, f64>,
    /// Sum of the weights in the averages, which begin empty.
    weight: f64,
    intervals: u32,
}

impl Arrivals {
    /// Takes where a caller is.
    pub(super) fn locate(&mut self, caller: net::IpAddr, data_centre: &str) {
        self.learn(block_of(caller), data_centre);
    }

    /// Takes where a block of callers is, as another host knows it.
    pub(super) fn learn(&mut self, block: net::IpAddr, data_centre: &str) {
        if self
            .blocks
            .get(&block)
            .is_none_or(|known| known != data_centre)
            && self.blocks.len() < MAX_BLOCKS
        {
            self.blocks.insert(block, data_centre.to_string());
        }
    }

    /// The blocks of callers that are known.
    pub(super) fn blocks(&self) -> Vec<(net::IpAddr, model::DataCentreId)> {
        self.blocks
            .iter()
            .map(|(block, d)| (*block, d.clone()))
            .take(MAX_TOLD)
            .collect()
    }

    /// Counts a request that is expected to take `work`; one of an unknown caller counts for `own`, the host's data centre.
    pub(super) fn count(
        &mut self,
        service: &str,
        route: &gateway::Route,
        work: time::Duration,
        caller: net::IpAddr,
        own: &str,
    ) {
        let data_centre = self
            .blocks
            .get(&block_of(caller))
            .map_or(own, String::as_str);
        let key = (
            service.to_string(),
            data_centre.to_string(),
            route.regions.clone(),
        );
        *self.work.entry(key).or_default() += work.as_secs_f64();
    }

    /// Ends an interval; those before the first request do not count.
    pub(super) fn roll(&mut self) {
        if self.work.is_empty() && self.slots.is_empty() {
            return;
        }
        for key in self.work.keys() {
            self.slots.entry(key.clone()).or_default();
        }
        for (key, slots) in &mut self.slots {
            let work = self.work.get(key).copied().unwrap_or(0.0);
            *slots += WEIGHT * (work / INTERVAL.as_secs_f64() - *slots);
        }
        self.weight += WEIGHT * (1.0 - self.weight);
        self.intervals = self.intervals.saturating_add(1);
        self.work.clear();
    }

    /// The demand; nothing until enough was measured.
    pub(super) fn loads(&self) -> Vec<gateway::Load> {
        if self.intervals < MEASURED {
            return Vec::new();
        }
        self.slots
            .iter()
            .map(|((service, data_centre, regions), slots)| gateway::Load {
                service: service.clone(),
                data_centre: data_centre.clone(),
                regions: regions.clone(),
                slots: slots / self.weight,
            })
            .collect()
    }
}

/// Block of a caller: its /24, or its /48 of the newer protocol.
fn block_of(caller: net::IpAddr) -> net::IpAddr {
    match caller {
        net::IpAddr::V4(address) => {
            net::IpAddr::V4(net::Ipv4Addr::from(u32::from(address) & !0xff))
        }
        net::IpAddr::V6(address) => {
            net::IpAddr::V6(net::Ipv6Addr::from(u128::from(address) & !((1 << 80) - 1)))
        }
    }
}
