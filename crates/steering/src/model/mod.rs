//! Identifiers, time and request metadata shared by all components.

mod ids;
mod key;
mod outcome;
mod rank;
mod request;

pub use ids::{
    CustomerId, DataCentreId, HostId, Incarnation, RegionId, RequestId, ServerId, ServiceId,
    SiteId, TeamId, Time, Version, WorkId,
};
pub use key::{IdempotencyKey, KeyError, KeyPrefix, Process};
pub use outcome::{NotRunReason, Outcome};
pub use rank::Rank;
pub use request::RequestMeta;
