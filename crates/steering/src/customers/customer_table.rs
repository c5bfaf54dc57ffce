//! Customers by key.

use std::{collections, sync};

use thiserror::Error;

use super::{customer, key};
use crate::model;

/// A key that two customers have.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("customers {first} and {second} have a key in common")]
pub struct DuplicateKey {
    /// One of the customers.
    pub first: model::CustomerId,
    /// The other one.
    pub second: model::CustomerId,
}

/// The customers of the active configuration.
#[derive(Clone, Debug, Default)]
pub struct CustomerTable {
    by_key: collections::HashMap<key::Key, sync::Arc<customer::Customer>>,
}

impl CustomerTable {
    /// Creates the table of a version's customers.
    pub fn new<'a>(
        customers: impl IntoIterator<Item = &'a customer::Customer>,
    ) -> Result<CustomerTable, DuplicateKey> {
        let mut by_key: collections::HashMap<key::Key, sync::Arc<customer::Customer>> =
            collections::HashMap::new();
        for customer in customers {
            let shared = sync::Arc::new(customer.clone());
            for key in &customer.keys {
                if let Some(other) = by_key.insert(*key, sync::Arc::clone(&shared))
                    && other.name != customer.name
                {
                    return Err(DuplicateKey {
                        first: other.name.clone(),
                        second: customer.name.clone(),
                    });
                }
            }
        }
        Ok(CustomerTable { by_key })
    }

    /// Customer that a key belongs to.
    pub fn find(&self, key: &key::Key) -> Option<&sync::Arc<customer::Customer>> {
        self.by_key.get(key)
    }
}
