//! Command line.

xflags::xflags! {
    /// Runs a small copy of a deployment in one process: platform, backend servers, entry hosts
    /// and callers.  Applies a patch, drains a backend server, floods it with late work, kills an
    /// entry host and stops another, and checks what was promised.
    ///
    /// Exits with 1 where a promise was broken.
    cmd demo {
        /// camara (default) or lampolie.
        optional --deployment name: String
        /// Prints the figures as JSON.
        optional --json
        /// Leaves everything up with its addresses printed, until interrupted.
        optional --keep
    }
}
