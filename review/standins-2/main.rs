//! The script cases of the second review; the argument is the number of the case's folder.

mod broken_pipeline;
mod early_answer;
mod foreign_entry;
mod silent_lookups;
mod slow_readers;
mod support;

use std::{env, path::PathBuf, process::ExitCode};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let name = env::args().nth(1).unwrap_or_default();
    let dir = env::args().nth(2).map(PathBuf::from).unwrap_or_default();
    let result = match name.as_str() {
        "early-answer" => early_answer::run(&dir),
        "slow-readers" => slow_readers::run(&dir),
        "silent-lookups" => silent_lookups::run(&dir),
        "broken-pipeline" => broken_pipeline::run(&dir),
        "foreign-entry" => foreign_entry::run(&dir),
        _ => Err(format!("no case is named {name:?}")),
    };
    match result {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(e) => {
            println!("could not run: {e}");
            ExitCode::from(2)
        }
    }
}
