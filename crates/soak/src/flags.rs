//! Command line of the soak.
#![allow(missing_docs, reason = "the macro documents only commands and flags")]

use std::path::PathBuf;

xflags::xflags! {
    /// Plays runs of the real daemon under faults and checks the promises.
    ///
    /// EXAMPLES:
    ///   yuccatide-soak --seeds 50
    ///   yuccatide-soak --first 1234 --keep
    ///   yuccatide-soak --cases --jobs 5
    cmd yuccatide-soak {
        /// First seed; a fresh one if left out.
        optional --first seed: u64
        /// Number of seeds (1).
        optional --seeds number: u32
        /// Plays the seeds that failed once, in place of others.
        optional --cases
        /// Seconds with events in each run (40).
        optional --seconds seconds: u64
        /// Entry hosts (6).
        optional --hosts number: usize
        /// Places of backend servers (9).
        optional --servers number: usize
        /// Callers (14).
        optional --callers number: usize
        /// Runs played side by side (1).
        optional --jobs number: usize
        /// The daemon (target/release/yuccatide-platformd).
        optional --program path: PathBuf
        /// Folder for settings and logs (target/soak); those of runs that hold are removed.
        optional --dir path: PathBuf
        /// Leaves out the promises with a time bound, for a machine that is overloaded.
        optional --untimed
        /// Keeps the logs of all runs.
        optional --keep
    }
}
