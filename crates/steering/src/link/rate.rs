//! Parts of a link's capacity.

use crate::config;

/// Part of a link that carries requests; the rest carries answers to requests of the other side.
const REQUEST_PART: f64 = 0.5;

/// Bytes per second that an owner may let through on the link of its region with another one, in
/// one direction and for either requests or answers.
///
/// The link is divided by slots: `owned` of the `region` slots of all servers of the owner's
/// region.  As each server has one owner, the parts of all owners never exceed the link, without
/// messages between them.
pub fn owner_link_rate(link: &config::Link, owned: u32, region: u32) -> u64 {
    if region == 0 {
        return 0;
    }
    let bytes_per_s = link.bits_per_second as f64 / 8.0 * link.share * REQUEST_PART;
    (bytes_per_s * f64::from(owned.min(region)) / f64::from(region)) as u64
}
