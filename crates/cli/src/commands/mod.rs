//! The commands.

mod blocks;
mod cx;
mod drain;
mod explain;
mod input;
mod patch;
mod read;
mod run;
mod status;

pub use run::run;
