//! Capacity of data centres, and grants of it to hosts in other data centres.

mod divide;
mod grant;
mod held_grants;
mod issued_grants;
mod local;

pub use divide::{Claim, divide};
pub use grant::{
    BURST_REQUESTS, Grant, GrantId, GrantRequest, HOLD_DURATION, LEASE_DURATION, RENEWAL_INTERVAL,
};
pub use held_grants::{GrantKey, GrantTotals, HeldGrants, RequiredCapacity};
pub use issued_grants::{IssuedGrant, IssuedGrants, Requester};
pub use local::{Capacity, MAX_CAPACITY_AGE};
