//! One line that tells what is going on.

use std::{
    io::{self, IsTerminal, Write},
    time,
};

/// The progress line, on standard error.
pub struct Progress {
    start: time::Instant,
    terminal: bool,
}

impl Progress {
    /// Begins to count the time.
    pub fn new() -> Progress {
        Progress {
            start: time::Instant::now(),
            terminal: io::stderr().is_terminal(),
        }
    }

    /// Replaces the line on a terminal, and else adds one.
    pub fn step(&self, text: &str) {
        let elapsed = self.start.elapsed().as_secs_f64();
        let mut err = io::stderr();
        // Progress that can't be shown is no failure.
        let _ = match self.terminal {
            true => write!(err, "\r\x1b[K{elapsed:5.1} s  {text}"),
            false => writeln!(err, "{elapsed:5.1} s  {text}"),
        };
        let _ = err.flush();
    }

    /// Ends the line.
    pub fn finish(&self) {
        self.step("done");
        if self.terminal {
            eprintln!();
        }
    }
}
