//! Identifiers and the time type.

use std::time;

/// Name of a customer, unique within a deployment.
pub type CustomerId = String;

/// Name of a data centre, unique within a deployment.
pub type DataCentreId = String;

/// Name of an entry host; a replacement at the same address keeps the name.
pub type HostId = String;

/// Start time of a host process in milliseconds since the Unix epoch; larger for each later start.
pub type Incarnation = u64;

/// Name of a region.
pub type RegionId = String;

/// Identifier of a request and all its attempts; unique per request that a caller sends.
pub type RequestId = u128;

/// Name of a backend server, unique within a deployment.
pub type ServerId = String;

/// Name of a service that backend servers run.
pub type ServiceId = String;

/// Name of a site: a group of client blocks that prefer the same data centres in the same order.
pub type SiteId = String;

/// Name of a team that owns policies.
pub type TeamId = String;

/// Time since the Unix epoch; monotonic within a process.
pub type Time = time::Duration;

/// Number of a configuration version; the first accepted document has version 1.
pub type Version = u64;

/// Name of a kind of work: a class of requests to one service with common rank and limits.
pub type WorkId = String;
