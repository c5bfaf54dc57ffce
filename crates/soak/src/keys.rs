//! Customers of a run, and the keys that its callers send.

use yuccatide_platform_standins::objects;

/// Customers in each version.
const CUSTOMERS: u64 = 3;

/// Versions that hold a passing key, from the one that brings it.
const VERSIONS_HELD: u64 = 2;

/// Beginning of each key.
const PREFIX: &str = "secret-";

/// A key that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// Held by a customer in each version.
    Lasting(u64),
    /// Brought by a version and revoked by a later one.
    Passing(u64),
    /// Held by no customer in any version.
    Unknown(u64),
}

impl Key {
    /// The key as it is sent.
    pub fn text(self) -> String {
        match self {
            Key::Lasting(number) => format!("{PREFIX}lasting-{}", customer(number)),
            Key::Passing(version) => format!("{PREFIX}passing-{version}"),
            Key::Unknown(number) => format!("{PREFIX}unknown-{number}"),
        }
    }

    /// Customer that holds or held it.
    pub fn customer(self) -> Option<String> {
        match self {
            Key::Lasting(number) | Key::Passing(number) => Some(customer(number)),
            Key::Unknown(_) => None,
        }
    }

    /// Versions that hold it; the first one and the first one after these.
    pub fn versions(self) -> Option<(u64, u64)> {
        match self {
            Key::Lasting(_) => Some((1, u64::MAX)),
            Key::Passing(version) => Some((version, version + VERSIONS_HELD)),
            Key::Unknown(_) => None,
        }
    }
}

/// Whether a text holds a key.
pub fn are_in(text: &str) -> bool {
    text.contains(PREFIX)
}

/// Name of the customer that a number falls to.
pub fn customer(number: u64) -> String {
    format!("customer-{}", number % CUSTOMERS)
}

/// Customers of a version.
pub fn customers(version: u64) -> Vec<objects::Customer> {
    let passing = (1..=version).filter(|brought| version < brought + VERSIONS_HELD);
    let passing: Vec<Key> = passing.map(Key::Passing).collect();
    (0..CUSTOMERS)
        .map(|number| {
            let own = passing.iter().copied();
            let own = own.filter(|key| key.customer() == Some(customer(number)));
            let keys = own.chain([Key::Lasting(number)]);
            objects::Customer {
                name: customer(number),
                keys: keys.map(Key::text).collect(),
            }
        })
        .collect()
}
