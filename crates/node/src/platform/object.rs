//! Objects and the results of calls.

use bytes::Bytes;

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version, higher for each later write to the object.
    pub version: u64,
    /// Value.
    pub body: Bytes,
}

/// What a conditional write requires of the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It does not exist.
    Absent,
    /// It has this version.
    Version(u64),
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// The object has a higher version.
    Changed(Object),
    /// It had no higher version until the time was over.
    Unchanged,
    /// It does not exist any more.
    Absent,
}

/// Result of a write that is read back where its answer was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect with this answer.
    Version(u64),
    /// Its answer was lost and the object, read back, contains it.
    ReadBack(Object),
}
