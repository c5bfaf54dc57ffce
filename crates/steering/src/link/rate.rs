//! Division of a link's bandwidth between the entry hosts that own backend servers.

use crate::config;

/// Share of a link for requests; the rest carries responses to requests from the other region.
const REQUEST_SHARE: f64 = 0.5;

/// Bytes per second that an owner, the entry host that owns some of a region's servers, may admit
/// on the link between its region and another one, in one direction and for either requests or
/// responses.
///
/// The link is divided in proportion to slots: the owner gets `owned_slots` out of the
/// `region_slots` of all servers in its region.  As each server has one owner, the rates of all
/// owners together never exceed the link, without coordination between them.
pub fn owner_link_rate(link: &config::Link, owned_slots: u32, region_slots: u32) -> u64 {
    if region_slots == 0 {
        return 0;
    }
    let bytes_per_s = link.bits_per_second as f64 / 8.0 * link.share * REQUEST_SHARE;
    (bytes_per_s * f64::from(owned_slots.min(region_slots)) / f64::from(region_slots)) as u64
}
