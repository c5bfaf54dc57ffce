//! Intervals and limits of the propagation of configurations.

use std::time;

/// Time after which a call to the platform counts as lost.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time after which a watch of the platform counts as lost.
pub const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(45);
/// Time between two reads that check whether the platform still holds what is in force.
pub const AUDIT_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Longest random delay of a read after a peer's document contradicted the one in force.
pub const MAX_CHECK_DELAY: time::Duration = time::Duration::from_secs(3);
/// Base pause after the first failed call.
pub const INITIAL_BACKOFF_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest pause after failed calls.
pub const MAX_BACKOFF_INTERVAL: time::Duration = time::Duration::from_secs(15);

/// Longest random delay of a starting host's first call to the platform.
pub const MAX_START_DELAY: time::Duration = time::Duration::from_secs(2);
/// Time that a starting host waits for replies of its peers.
pub const START_PEER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time between two pulls of a starting host from its peers.
pub const START_PULL_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Number of peers that a starting host pulls from at once.
pub const START_PULL_COUNT: usize = 2;

/// Time after which a pull from a peer may be repeated.
pub const PULL_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Number of hosts of the data centre, beside its watchers, that a host pushes a new version to.
pub const PUSH_TARGET_COUNT: usize = 3;
/// Largest size of pushed changes; larger ones are only announced by their version.
pub const MAX_PUSH_BYTES: usize = 16 * 1024;

/// Time after which a submission without a certain result is given up.
pub const SUBMIT_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Largest size of the stored form: the platform's limit for a value.
pub const MAX_STORED_BYTES: usize = 1_000_000;
