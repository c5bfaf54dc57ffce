//! The script cases of the second review; the arguments are the name of a case and its record.

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
    let record = env::args().nth(2).map(PathBuf::from).unwrap_or_default();
    let result = match name.as_str() {
        "early-answer" => early_answer::run(&record),
        "slow-readers" => slow_readers::run(&record),
        "silent-lookups" => silent_lookups::run(&record),
        "broken-pipeline" => broken_pipeline::run(&record),
        "foreign-entry" => foreign_entry::run(&record),
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
            if let Ok(record) = support::Record::open(&record) {
                record.line(format!("could not run: {e}"));
            }
            println!("could not run: {e}");
            ExitCode::from(2)
        }
    }
}
