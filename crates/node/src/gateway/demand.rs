//! Demand that arrives.

use std::{collections, net, time};

use yuccatide_steering::{gateway, model};

/// Interval over which arrivals are counted.
pub(super) const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Weight of a new count in the moving average; it follows demand within about three seconds.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Intervals after the first request before which the averages tell too little.
const MIN_SAMPLES: u32 = 4;

/// Blocks of callers that a host remembers; of more it takes the callers for its own_data_centre.
const MAX_CLIENT_BLOCKS: usize = 4096;

/// Blocks of callers that a host tells others of; they fit a datagram.
const MAX_SENT_BLOCKS: usize = 256;

/// Service, data centre of the callers, and regions that may serve the route.
type DemandKey = (model::ServiceId, model::DataCentreId, Vec<model::RegionId>);

/// Demand for each service from the callers of each data centre.
#[derive(Debug, Default)]
pub(super) struct DemandEstimator {
    /// Data centres of blocks of callers, as their look-ups name them.
    blocks: collections::BTreeMap<net::IpAddr, model::DataCentreId>,
    /// Seconds of work of the present interval.
    interval_work: collections::BTreeMap<DemandKey, f64>,
    /// Moving averages of the work a second, that is of slots.
    slot_averages: collections::BTreeMap<DemandKey, f64>,
    /// Sum of the weights in the averages, which begin empty.
    total_weight: f64,
    interval_count: u32,
}

impl DemandEstimator {
    /// Takes where a caller is.
    pub(super) fn record_client(&mut self, caller: net::IpAddr, data_centre: &str) {
        self.record_block(client_block(caller), data_centre);
    }

    /// Takes where a block of callers is, as another host knows it.
    pub(super) fn record_block(&mut self, block: net::IpAddr, data_centre: &str) {
        if self
            .blocks
            .get(&block)
            .is_none_or(|known| known != data_centre)
            && self.blocks.len() < MAX_CLIENT_BLOCKS
        {
            self.blocks.insert(block, data_centre.to_string());
        }
    }

    /// The blocks of callers that are known.
    pub(super) fn client_blocks(&self) -> Vec<(net::IpAddr, model::DataCentreId)> {
        self.blocks
            .iter()
            .map(|(block, d)| (*block, d.clone()))
            .take(MAX_SENT_BLOCKS)
            .collect()
    }

    /// Counts a request that is expected to take `work`; one of an unknown caller counts for `own_data_centre`, the host's data centre.
    pub(super) fn record_request(
        &mut self,
        service: &str,
        route: &gateway::Route,
        work: time::Duration,
        caller: net::IpAddr,
        own_data_centre: &str,
    ) {
        let data_centre = self
            .blocks
            .get(&client_block(caller))
            .map_or(own_data_centre, String::as_str);
        let key = (
            service.to_string(),
            data_centre.to_string(),
            route.regions.clone(),
        );
        *self.interval_work.entry(key).or_default() += work.as_secs_f64();
    }

    /// Ends an interval; those before the first request do not count.
    pub(super) fn end_interval(&mut self) {
        if self.interval_work.is_empty() && self.slot_averages.is_empty() {
            return;
        }
        for key in self.interval_work.keys() {
            self.slot_averages.entry(key.clone()).or_default();
        }
        for (key, slots) in &mut self.slot_averages {
            let work = self.interval_work.get(key).copied().unwrap_or(0.0);
            *slots += SMOOTHING_FACTOR * (work / SAMPLE_INTERVAL.as_secs_f64() - *slots);
        }
        self.total_weight += SMOOTHING_FACTOR * (1.0 - self.total_weight);
        self.interval_count = self.interval_count.saturating_add(1);
        self.interval_work.clear();
    }

    /// The demand; nothing until enough was measured.
    pub(super) fn loads(&self) -> Vec<gateway::Load> {
        if self.interval_count < MIN_SAMPLES {
            return Vec::new();
        }
        self.slot_averages
            .iter()
            .map(|((service, data_centre, regions), slots)| gateway::Load {
                service: service.clone(),
                data_centre: data_centre.clone(),
                regions: regions.clone(),
                slots: slots / self.total_weight,
            })
            .collect()
    }
}

/// Block of a caller: its /24, or its /48 of the newer protocol.
fn client_block(caller: net::IpAddr) -> net::IpAddr {
    match caller {
        net::IpAddr::V4(address) => {
            net::IpAddr::V4(net::Ipv4Addr::from(u32::from(address) & !0xff))
        }
        net::IpAddr::V6(address) => {
            net::IpAddr::V6(net::Ipv6Addr::from(u128::from(address) & !((1 << 80) - 1)))
        }
    }
}
