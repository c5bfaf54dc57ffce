//! Logs as JSON lines.

use std::{sync::mpsc, thread, time};

use logforth::{append, layout, record, starter_log};

/// Time for which the end of a process waits for lines to be written.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Lines that may wait to be written to standard output; more are dropped.
const BUFFERED_LINES: usize = 4096;

/// Starts logging to standard error from a level: error, warn, info or debug.  A second call changes nothing.
pub fn init(level: &str) {
    let appender = append::Stderr::default().with_layout(layout::JsonLayout::default());
    let filter = record::LevelFilter::MoreSevereEqual(level_of(level));
    let _ = starter_log::builder()
        .dispatch(|d| d.filter(filter).append(appender))
        .try_apply();
}

/// Starts logging to standard output from a level, by a thread of its own: a reader that does not
/// read never delays a request.  A second call changes nothing.
pub fn init_stdout(level: &str) {
    let stdout = append::Stdout::default().with_layout(layout::JsonLayout::default());
    let appender = append::asynchronous::AsyncBuilder::new("logs")
        .overflow_drop_incoming()
        .buffered_lines_limit(Some(BUFFERED_LINES))
        .append(stdout)
        .build();
    let filter = record::LevelFilter::MoreSevereEqual(level_of(level));
    let applied = starter_log::builder()
        .dispatch(|d| d.filter(filter).append(appender))
        .try_apply();
    if applied.is_err() {
        log::debug!("logging was started before");
    }
}

/// Writes the lines that wait, before the process ends; a reader that does not read delays it by a
/// bounded time only.
pub fn flush() {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        log::logger().flush();
        // The receiver may have given up.
        let _ = tx.send(());
    });
    if rx.recv_timeout(FLUSH_TIMEOUT).is_err() {
        eprintln!("log lines were left out at the end: standard output is not read");
    }
}

fn level_of(level: &str) -> record::Level {
    match level {
        "error" => record::Level::Error,
        "warn" => record::Level::Warn,
        "debug" => record::Level::Debug,
        _ => record::Level::Info,
    }
}
