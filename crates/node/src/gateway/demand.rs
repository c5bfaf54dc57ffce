//! Estimates the demand for each service from the requests that arrive at this host.

use std::{collections, net, time};

use yuccatide_steering::{gateway, model};

/// Interval over which requests are counted.
pub(super) const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Weight of a new sample in the moving average; a change of demand shows within about 3 s.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Samples after the first request that the averages need before they are reported.
const MIN_SAMPLES: u32 = 4;

/// Maximum number of client blocks that a host stores. Clients of further blocks count as callers
/// from the host's own data centre.
const MAX_CLIENT_BLOCKS: usize = 4096;

/// Maximum number of client blocks in a message to other hosts; bounded by the size of a datagram.
const MAX_SENT_BLOCKS: usize = 256;

/// Service, data centre of the callers and regions that may serve the route.
type DemandKey = (model::ServiceId, model::DataCentreId, Vec<model::RegionId>);

/// Demand for each service by data centre of the callers.
#[derive(Debug, Default)]
pub(super) struct DemandEstimator {
    /// Data centre of each client block, taken from the look-ups of its clients.
    blocks: collections::BTreeMap<net::IpAddr, model::DataCentreId>,
    /// Expected service time of the requests of the current interval, in seconds.
    interval_work: collections::BTreeMap<DemandKey, f64>,
    /// Moving averages of service time per second, which equals the number of slots needed.
    slot_averages: collections::BTreeMap<DemandKey, f64>,
    /// Sum of the weights in the averages; corrects their bias towards the initial zero.
    total_weight: f64,
    interval_count: u32,
}

impl DemandEstimator {
    /// Records the data centre of a client.
    pub(super) fn record_client(&mut self, caller: net::IpAddr, data_centre: &str) {
        self.record_block(client_block(caller), data_centre);
    }

    /// Records the data centre of a client block, as reported by another host.
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

    /// Known client blocks to send to other hosts.
    pub(super) fn client_blocks(&self) -> Vec<(net::IpAddr, model::DataCentreId)> {
        self.blocks
            .iter()
            .map(|(block, data_centre)| (*block, data_centre.clone()))
            .take(MAX_SENT_BLOCKS)
            .collect()
    }

    /// Records a request with the expected service time `work` that these regions may serve. A
    /// client of an unknown block counts for `own_data_centre`.
    pub(super) fn record_request(
        &mut self,
        service: &str,
        regions: Vec<model::RegionId>,
        work: time::Duration,
        caller: net::IpAddr,
        own_data_centre: &str,
    ) {
        let data_centre = self
            .blocks
            .get(&client_block(caller))
            .map_or(own_data_centre, String::as_str);
        let key = (service.to_string(), data_centre.to_string(), regions);
        *self.interval_work.entry(key).or_default() += work.as_secs_f64();
    }

    /// Updates the averages at the end of an interval. Intervals before the first request are
    /// ignored.
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

    /// The estimated demand; empty until there are enough samples.
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

/// Network of a client: its /24 in IPv4, its /48 in IPv6.
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
