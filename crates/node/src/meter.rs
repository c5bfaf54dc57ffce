//! What the host spends on control.

use std::{
    fs,
    sync::{self, atomic},
    time,
};

use crate::platform;

/// Shortest time over which usage is averaged.
const WINDOW: time::Duration = time::Duration::from_secs(5);

/// Averages over the last window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Time spent in control decisions over elapsed time; 1 is one core.
    pub core_share: f64,
    /// Bytes of control messages sent and received per second.
    pub bytes_per_second: f64,
    /// Calls to the platform per second.
    pub platform_calls_per_second: f64,
}

/// Totals since the start.
#[derive(Clone, Copy, Debug)]
struct Totals {
    at: time::Instant,
    busy: time::Duration,
    bytes: u64,
    calls: u64,
}

#[derive(Debug)]
struct Window {
    start: Totals,
    usage: Usage,
}

/// Counters of what control takes.
#[derive(Debug)]
pub struct Meter {
    received_bytes: atomic::AtomicU64,
    busy_ns: atomic::AtomicU64,
    platform_up: atomic::AtomicBool,
    window: sync::Mutex<Window>,
}

impl Meter {
    /// A meter that starts now.
    pub fn new() -> Meter {
        let start = Totals {
            at: time::Instant::now(),
            busy: time::Duration::ZERO,
            bytes: 0,
            calls: 0,
        };
        Meter {
            received_bytes: atomic::AtomicU64::new(0),
            busy_ns: atomic::AtomicU64::new(0),
            platform_up: atomic::AtomicBool::new(false),
            window: sync::Mutex::new(Window {
                start,
                usage: Usage::default(),
            }),
        }
    }

    /// Counts bytes that another host sent.
    pub fn received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Counts the time of a control decision.
    pub fn timed<T>(&self, f: impl FnOnce() -> T) -> T {
        let start = time::Instant::now();
        let result = f();
        let spent = start.elapsed().as_nanos() as u64;
        self.busy_ns.fetch_add(spent, atomic::Ordering::Relaxed);
        result
    }

    /// Notes whether the platform answered its latest call.
    pub fn set_platform_up(&self, up: bool) {
        self.platform_up.store(up, atomic::Ordering::Relaxed);
    }

    /// Whether the platform answered its latest call.
    pub fn platform_up(&self) -> bool {
        self.platform_up.load(atomic::Ordering::Relaxed)
    }

    /// Averages over the last window, which is renewed where it is old enough.
    pub fn usage(&self, sent_bytes: u64, calls: platform::Calls) -> Usage {
        let calls = calls.gets + calls.watches + calls.lists + calls.puts + calls.deletes;
        let received = self.received_bytes.load(atomic::Ordering::Relaxed);
        let totals = Totals {
            at: time::Instant::now(),
            busy: time::Duration::from_nanos(self.busy_ns.load(atomic::Ordering::Relaxed)),
            bytes: sent_bytes + received,
            calls,
        };
        let mut window = self
            .window
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let elapsed = totals.at - window.start.at;
        if elapsed >= WINDOW || window.usage == Usage::default() {
            window.usage = average(&window.start, &totals, elapsed);
        }
        if elapsed >= WINDOW {
            window.start = totals;
        }
        window.usage
    }
}

impl Default for Meter {
    fn default() -> Meter {
        Meter::new()
    }
}

fn average(start: &Totals, end: &Totals, elapsed: time::Duration) -> Usage {
    let seconds = elapsed.as_secs_f64().max(0.001);
    let share = |spent: time::Duration| spent.as_secs_f64() / seconds;
    Usage {
        core_share: share(end.busy.saturating_sub(start.busy)),
        bytes_per_second: end.bytes.saturating_sub(start.bytes) as f64 / seconds,
        platform_calls_per_second: end.calls.saturating_sub(start.calls) as f64 / seconds,
    }
}

/// Resident memory of the process in bytes, from `/proc/self/status` (proc(5)).
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
