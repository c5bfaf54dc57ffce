//! Customers: whose requests a key admits, and how they are served.

mod customer;
mod customer_table;
mod key;

pub use customer::Customer;
pub use customer_table::{CustomerTable, DuplicateKey};
pub use key::Key;
