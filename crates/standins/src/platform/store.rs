//! Versioned objects.

use std::collections;

use bytes::Bytes;

/// Kind and name of an object.
pub type Key = (String, String);

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version, higher for each later write to the store.
    pub version: u64,
    /// Value.
    pub body: Bytes,
}

/// What a conditional write requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// There is no such object.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// All objects at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot(Store);

/// The objects.
#[derive(Clone, Debug, Default)]
pub struct Store {
    objects: collections::BTreeMap<Key, Object>,
    revision: u64,
}

impl Store {
    /// The object of a kind and name.
    pub fn get(&self, key: &Key) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Names and versions of all objects of a kind.
    pub fn list(&self, kind: &str) -> collections::BTreeMap<&str, u64> {
        self.objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .map(|((_, name), object)| (name.as_str(), object.version))
            .collect()
    }

    /// Whether the condition holds for the object.
    pub fn allows(&self, key: &Key, condition: Condition) -> bool {
        match (condition, self.objects.get(key)) {
            (Condition::Absent, found) => found.is_none(),
            (Condition::Version(version), found) => found.is_some_and(|o| o.version == version),
        }
    }

    /// Writes an object and returns its version.
    pub fn put(&mut self, key: Key, body: Bytes) -> u64 {
        self.revision += 1;
        let version = self.revision;
        self.objects.insert(key, Object { version, body });
        version
    }

    /// Removes an object.
    pub fn delete(&mut self, key: &Key) {
        self.revision += 1;
        self.objects.remove(key);
    }

    /// A copy of all objects.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.clone())
    }

    /// Replaces all objects by those of a copy.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        *self = snapshot.0.clone();
    }
}
