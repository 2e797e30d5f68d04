//! Log lines: one line of key=value pairs for each event, on standard output, never blocking.
//!
//! Lines wait in a bounded queue for a thread of their own. Each ends with its number, so that a reader sees where lines
//! are missing; those that found no room in the queue are counted, too.

use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Lines that may wait; about two seconds of the busiest owner.
const QUEUE: usize = 8_192;
/// Lines are written this often: one wake-up for some 40 lines of a busy owner in place of one each.
const GATHER: Duration = Duration::from_millis(25);
/// The most bytes of one write: POSIX's PIPE_BUF on Linux. A longer write to a pipe may be split, and a reader that takes
/// a write as a unit loses the rest of it.
pub const WRITE_MAX: usize = 4_096;
/// The most bytes of one line, with its number.
const LINE_MAX: usize = 2_048;
/// Bytes kept for a line's number.
const NUMBER_MAX: usize = 48;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// How many lines found no room.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Makes numbered lines of what a logger writes.
#[derive(Debug, Default)]
pub struct Lines {
    line: Vec<u8>,
    count: u64,
}

impl Lines {
    /// Takes in bytes; a line with its number once it is whole.
    pub fn add(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.line.extend_from_slice(bytes);
        if !self.line.ends_with(b"\n") {
            return None;
        }
        let mut line = std::mem::take(&mut self.line);
        line.pop();
        self.count += 1;
        let is_cut = line.len() > LINE_MAX - NUMBER_MAX;
        if is_cut {
            line.truncate(LINE_MAX - NUMBER_MAX);
        }
        let cut = if is_cut { " cut=true" } else { "" };
        line.extend_from_slice(format!("{cut} line={}\n", self.count).as_bytes());
        Some(line)
    }
}

/// Writes whole lines, as many at once as fit into [`WRITE_MAX`] bytes.
///
/// # Errors
/// They cannot be written.
pub fn write_lines(out: &mut impl Write, lines: impl Iterator<Item = Vec<u8>>) -> io::Result<()> {
    let mut chunk = Vec::with_capacity(WRITE_MAX);
    for line in lines {
        if chunk.len() + line.len() > WRITE_MAX {
            out.write_all(&chunk)?;
            chunk.clear();
        }
        chunk.extend_from_slice(&line);
    }
    out.write_all(&chunk)?;
    out.flush()
}

struct Sink {
    lines: Lines,
    queue: SyncSender<Vec<u8>>,
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let sent = self.lines.add(bytes).map(|line| self.queue.try_send(line));
        if let Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_))) = sent {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits, together.
fn drain(queue: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(first) = queue.recv() {
        std::thread::sleep(GATHER);
        if let Err(err) = write_lines(&mut out, std::iter::once(first).chain(queue.try_iter())) {
            // Nobody reads the log any more: later lines count as dropped.
            eprintln!("event=log-unwritable error={err:?}");
            return;
        }
    }
}

/// Gives the last lines the time to be written before the process ends.
pub fn settle() {
    std::thread::sleep(GATHER * 2);
}

/// Nothing but the event's own key=value pairs.
pub fn config() -> Config {
    ConfigBuilder::new()
        .add_filter_allow_str("sprucerudder")
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .build()
}

/// Sends log lines to standard output from now on.
pub fn start(level: LevelFilter) {
    let (queue, lines) = sync_channel(QUEUE);
    std::thread::spawn(move || drain(&lines));
    let sink = Sink { lines: Lines::default(), queue };
    if let Err(err) = WriteLogger::init(level, config(), sink) {
        eprintln!("event=log-started-twice error={err:?}");
    }
}
