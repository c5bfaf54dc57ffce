//! Decisions of the HTTP gateway.

mod budget;
mod directory;
mod fairness;
mod fixtures;
mod fleet;
mod members;
mod outcome;
mod pool;
mod routes;
