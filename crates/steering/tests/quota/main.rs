//! Tests of admission by quota.

mod cases;
mod histories;
