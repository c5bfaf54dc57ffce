//! Seeds that failed once, each with its cause.  All are played with the default sizes.

/// Seed and the cause of its failure.
pub const CASES: [(u64, &str); 11] = [
    (106, "a watch on a silenced connection waited for 20 s"),
    (113, "a watch on a silenced connection waited for 20 s"),
    (
        114,
        "the soak waited for the end of a host that nobody had stopped",
    ),
    (
        118,
        "a trial of the store waited for a change and kept the others from trying",
    ),
    (
        126,
        "hosts of other data centres did not share a cold server's rate",
    ),
    (3_784_840_261, "SIGTERM met a process that had just started"),
    (
        20_261_206,
        "the soak itself: a server's signal ended with an earlier one that overlapped it",
    ),
    (20_261_209, "the same"),
    (20_261_210, "the same"),
    (
        37_002,
        "watches of all hosts waited on connections that went silent at once",
    ),
    (
        20_261_340,
        "the soak itself: two listeners of a host were given one port",
    ),
];
