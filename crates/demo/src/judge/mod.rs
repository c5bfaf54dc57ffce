//! Whether what was promised was kept.

mod facts;
mod promise;
mod promises;

pub use facts::Facts;
pub use promise::Promise;
pub use promises::judge;
