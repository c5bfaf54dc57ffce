//! Intervals and limits of the failure detector.

use std::time;

/// Time between two rounds of probes.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time without an acknowledgement after which indirect probes are requested.
pub const DIRECT_PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Time after the first probe at which an unacknowledged host becomes suspect.
pub const INDIRECT_PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time that a suspect has to refute the suspicion before it is marked dead.
pub const SUSPICION_TIMEOUT: time::Duration = time::Duration::from_millis(1_400);
/// Gap between two ticks from which a host assumes that it was paused.
pub const PAUSE_DETECTION_GAP: time::Duration = time::Duration::from_millis(400);
/// Number of alive ring successors that a host probes.
pub const PROBED_SUCCESSOR_COUNT: usize = 2;
/// Number of hosts that are requested to probe indirectly.
pub const INDIRECT_PROBE_COUNT: usize = 3;

/// Shortest time between two gossip rounds.
pub const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Number of hosts that a gossip round is sent to.
pub const GOSSIP_TARGET_COUNT: usize = 3;
/// Number of times that a host sends an update.
pub const UPDATE_SEND_COUNT: u32 = 9;
/// Largest number of updates in one message.
pub const UPDATES_PER_MESSAGE: usize = 16;
/// Limit on the gossip bytes per second that a host sends.
pub const GOSSIP_BYTES_PER_SECOND: f64 = 6_000.0;

/// Time between two comparisons of the member table with a random host.
pub const SYNC_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Base time between two attempts to join.
pub const JOIN_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Largest number of members in one message of a table transfer.
pub const MEMBERS_PER_MESSAGE: usize = 100;
/// Time for which a dead host is kept in the member table.
pub const TOMBSTONE_RETENTION: time::Duration = time::Duration::from_secs(2 * 3600);

/// Number of hosts of a data centre that exchange summaries with other data centres.
pub const RELAY_COUNT: usize = 2;
/// Number of hosts of a data centre that watch the platform.
pub const WATCHER_COUNT: usize = 2;
/// Time between two summaries to a data centre.
pub const SUMMARY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time without a summary after which a data centre counts as silent.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Time for which a change of a member is repeated in summaries.
pub const SUMMARY_REPEAT_DURATION: time::Duration = time::Duration::from_millis(2_500);
