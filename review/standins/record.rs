//! What was sent, answered and run, with the time of each.

use std::{
    fs,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A line of the record.
#[derive(Clone, Debug)]
pub struct Line {
    /// Seconds since the record's start.
    pub at: f64,
    pub event: &'static str,
    /// Id of the request, if it is about one.
    pub id: String,
    pub detail: String,
}

/// The record of a run; cheap to clone.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line; returns its time.
    pub fn add(&self, event: &'static str, id: &str, detail: impl Into<String>) -> f64 {
        let mut lines = self.lines.lock().unwrap();
        let at = self.now();
        lines.push(Line { at, event, id: id.to_string(), detail: detail.into() });
        at
    }

    /// Adds a line and prints it.
    pub fn say(&self, event: &'static str, detail: impl Into<String>) -> f64 {
        let detail = detail.into();
        let at = self.add(event, "", detail.clone());
        println!("{at:8.3} {event} {detail}");
        at
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap().clone()
    }

    /// Lines of an event.
    pub fn of(&self, event: &str) -> Vec<Line> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|line| line.event == event).cloned().collect()
    }

    /// Appends all lines to a file.
    pub fn write(&self, path: &Path) {
        let file = fs::OpenOptions::new().create(true).append(true).open(path);
        let mut file = io::BufWriter::new(file.expect("the record can be written"));
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{:8.3} {} {} {}", line.at, line.event, line.id, line.detail)
                .expect("the record can be written");
        }
    }
}
