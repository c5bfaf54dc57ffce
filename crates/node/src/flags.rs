//! Command line of the daemon.
#![allow(missing_docs, reason = "the macro documents only commands and flags")]

use std::path::PathBuf;

xflags::xflags! {
    /// Entry host of yuccatide: answers look-ups and steers requests to backend servers.
    ///
    /// SIGTERM and SIGINT are a planned stop: the host leaves the look-ups, finishes its requests
    /// and exits.  A second signal stops it at once.
    ///
    /// EXAMPLES:
    ///   yuccatided --settings /etc/yuccatide/settings.json
    ///   yuccatided --settings settings.json --check
    cmd yuccatided {
        /// File with the settings (JSON; `//` comments are allowed).
        required --settings path: PathBuf
        /// Checks the settings and exits: 0 where they are valid, 2 where not.
        optional --check
    }
}
