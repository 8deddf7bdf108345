//! Structured log lines on standard output. Their number is bounded, and logging never blocks.

use eyre::{Result, WrapErr};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger};
use log::Record;
use shaleline_types::{Level, LogEvent, Millis};
use std::cell::Cell;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Mutex;
use std::time::Duration;

/// The number of lines that may wait for a slow reader; further ones are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// How long lines are buffered before they are written, to save wake-ups.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Rate limit and burst of lines about single requests.
const LINES_PER_S: f64 = 100.0;
const LINES_BURST: f64 = 300.0;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// The number of log lines dropped so far.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

struct Queue(Mutex<SyncSender<String>>);

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let time = now.format("%H:%M:%S%.3f");
        let line = format!("time={time} level={} {}\n", record.level(), record.args());
        let sender = self.0.lock().expect("no holder panics");
        if let Err(TrySendError::Full(_)) = sender.try_send(line) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<String>) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        text.extend(lines.try_iter());
        // Standard output is closed, so logging ends.
        if std::io::stdout().write_all(text.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}

/// Starts logging at a level such as `info`.
///
/// # Errors
/// If the level can't be parsed or the writer can't be started.
pub fn start_journal(level: &str) -> Result<()> {
    let (sender, lines) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines))
        .wrap_err("can't start the log writer")?;
    Logger::try_with_str(level)
        .wrap_err("log level")?
        .log_to_writer(Box::new(Queue(Mutex::new(sender))))
        .start()
        .wrap_err("can't start logging")?;
    Ok(())
}

/// Logs a numbered event; `detail` is a list of `key=value` pairs.
pub(crate) fn emit(event: LogEvent, detail: &str) {
    let level = match event.level() {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
    };
    log::log!(level, "event={} name={event:?} {detail}", event.number());
}

/// Limits the rate of lines about single requests.
#[derive(Debug)]
pub(crate) struct LineLimiter {
    level: Cell<f64>,
    last: Cell<Millis>,
}

impl LineLimiter {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            level: Cell::new(LINES_BURST),
            last: Cell::new(now),
        }
    }

    /// Whether one more line may be written; a line that may not is counted as dropped.
    pub(crate) fn take(&self, now: Millis) -> bool {
        let gained = now.since(self.last.get()) as f64 / 1_000.0 * LINES_PER_S;
        let level = (self.level.get() + gained).min(LINES_BURST);
        self.last.set(now);
        if level < 1.0 {
            self.level.set(level);
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.level.set(level - 1.0);
        true
    }
}
