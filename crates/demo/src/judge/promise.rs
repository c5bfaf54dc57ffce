//! One promise.

use serde::Serialize;

/// A promise and what was seen of it.
#[derive(Clone, Debug, Serialize)]
pub struct Promise {
    /// What was promised.
    pub name: &'static str,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Largest value with which it is kept.
    pub at_most: f64,
    /// Whether it was kept.
    pub held: bool,
}

impl Promise {
    /// A promise that is kept while `value` is at most `at_most`.
    pub fn new(name: &'static str, value: f64, unit: &'static str, at_most: f64) -> Promise {
        Promise {
            name,
            value,
            unit,
            at_most,
            held: value <= at_most,
        }
    }
}
