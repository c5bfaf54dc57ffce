//! Rates at which requests arrive.

use std::{collections, net, time};

use yuccatide_steering::{gateway, model};

/// Interval over which arrivals are counted.
pub(super) const INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Weight of a new count in the moving average; it follows demand within about two seconds.
const WEIGHT: f64 = 0.3;

/// Requests a second for each service from the callers of each data centre.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Data centres of callers, by address, as their look-ups name them.
    callers: collections::HashMap<net::IpAddr, model::DataCentreId>,
    counts: collections::BTreeMap<(model::ServiceId, model::DataCentreId), u32>,
    rates: collections::BTreeMap<(model::ServiceId, model::DataCentreId), f64>,
}

impl Arrivals {
    /// Takes where a caller is.
    pub(super) fn locate(&mut self, caller: net::IpAddr, data_centre: &str) {
        self.callers.insert(caller, data_centre.to_string());
    }

    /// Counts a request; one of an unknown caller counts for `own`, the host's data centre.
    pub(super) fn count(&mut self, service: &str, caller: net::IpAddr, own: &str) {
        let data_centre = self.callers.get(&caller).map_or(own, String::as_str);
        let key = (service.to_string(), data_centre.to_string());
        *self.counts.entry(key).or_default() += 1;
    }

    /// Ends an interval.
    pub(super) fn roll(&mut self) {
        for key in self.counts.keys() {
            self.rates.entry(key.clone()).or_default();
        }
        for (key, rate) in &mut self.rates {
            let count = self.counts.get(key).copied().unwrap_or(0);
            let now = f64::from(count) / INTERVAL.as_secs_f64();
            *rate += WEIGHT * (now - *rate);
        }
        self.counts.clear();
    }

    /// The rates.
    pub(super) fn loads(&self) -> Vec<gateway::Load> {
        self.rates
            .iter()
            .map(|((service, data_centre), rate)| gateway::Load {
                service: service.clone(),
                data_centre: data_centre.clone(),
                rate: *rate,
            })
            .collect()
    }
}
