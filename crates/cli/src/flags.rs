//! Command line.

use std::{net::IpAddr, path::PathBuf, str};

use yuccatide_steering::config;

xflags::xflags! {
    /// Reads and changes the configuration of a deployment, and shows its state.
    ///
    /// Examples:
    ///     export YUCCATIDE_HOST=127.0.0.1:7001 YUCCATIDE_TOKEN_FILE=token
    ///     yuccatide status
    ///     yuccatide config get > config.json
    ///     yuccatide config patch --base 4 patch.json
    ///     yuccatide drain start server log-01 --empty-by 2026-12-04T18:00:00Z
    ///     yuccatide drain start data-centre mendoza --empty-by +2h
    ///     yuccatide drain cancel server log-01
    ///     yuccatide blocks load --base 5 blocks.txt
    ///     yuccatide explain --client 192.0.2.7 --work certificate
    ///
    /// Exit codes: 0 done; 1 refused by the host; 2 wrong usage or input; 3 the patch is against
    /// an outdated version; 4 no host could be reached or it can't serve; 5 it is not known
    /// whether the patch was accepted.
    cmd yuccatide {
        /// Administration address of an entry host, IP:PORT; or set YUCCATIDE_HOST.
        optional --host address: String
        /// Operator's token; or set YUCCATIDE_TOKEN.  Other users may see it in the process list.
        optional --token token: String
        /// File that holds the token; or set YUCCATIDE_TOKEN_FILE.
        optional --token-file path: PathBuf
        /// Prints JSON for programs instead of tables; errors too, on standard error.
        optional --json

        /// Reads and changes the configuration.
        cmd config {
            /// Prints the document in force as JSON.
            cmd get {}
            /// Submits a JSON merge patch (RFC 7396) against a version; prints the new version.
            cmd patch {
                /// Version that the patch was written against.
                required --base version: u64
                /// File with the merge patch; - for standard input.
                required file: PathBuf
            }
            /// Lists the latest accepted patches.
            cmd history {}
            /// Checks a whole document, here without a host and else by the host's rules too.
            cmd validate {
                /// File with the document; - for standard input.
                required file: PathBuf
            }
        }
        /// Shows data centres, entry hosts, backend servers and planned stops.
        cmd status {}
        /// Plans and shows planned stops.
        cmd drain {
            /// Plans the stop of a host, server or data-centre.
            cmd start {
                /// What is stopped: host, server or data-centre.
                required kind: TargetKind
                /// Its name.
                required name: String
                /// When it has to be empty, such as 2026-12-04T18:00:00Z or +2h30m; else now.
                optional --empty-by time: String
            }
            /// Ends a planned stop.
            cmd cancel {
                /// What was stopped: host, server or data-centre.
                required kind: TargetKind
                /// Its name.
                required name: String
            }
            /// Shows planned stops.
            cmd list status {}
        }
        /// Changes the table of client blocks.
        cmd blocks {
            /// Replaces the table by that of a file with lines such as `192.0.2.0/24 rosario`.
            cmd load {
                /// Version that the table was written against.
                required --base version: u64
                /// File with the blocks and their sites; - for standard input.
                required file: PathBuf
            }
        }
        /// Tells why a request goes where it goes.
        cmd explain {
            /// IP address of the client.
            required --client address: IpAddr
            /// Kind of work.
            required --work name: String
        }
    }
}

/// Kind of what a planned stop concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// An entry host.
    Host,
    /// A backend server.
    Server,
    /// All backend servers of a data centre.
    DataCentre,
}

impl str::FromStr for TargetKind {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<TargetKind, &'static str> {
        match s {
            "host" => Ok(TargetKind::Host),
            "server" => Ok(TargetKind::Server),
            "data-centre" => Ok(TargetKind::DataCentre),
            _ => Err("it is neither host, server nor data-centre"),
        }
    }
}

impl TargetKind {
    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetKind::Host => "host",
            TargetKind::Server => "server",
            TargetKind::DataCentre => "data-centre",
        }
    }

    /// The target with this name.
    pub fn target(self, name: String) -> config::DrainTarget {
        match self {
            TargetKind::Host => config::DrainTarget::Host(name),
            TargetKind::Server => config::DrainTarget::Server(name),
            TargetKind::DataCentre => config::DrainTarget::DataCentre(name),
        }
    }
}
