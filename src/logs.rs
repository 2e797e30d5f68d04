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
const QUEUE_LINES: usize = 8_192;
/// Lines are written this often: one wake-up for some 40 lines of a busy owner in place of one each.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);
/// The most bytes of one write: POSIX's PIPE_BUF on Linux. A longer write to a pipe may be split, and a reader that takes
/// a write as a unit loses the rest of it.
pub const MAX_WRITE_BYTES: usize = 4_096;
/// The most bytes of one line, with its number.
const MAX_LINE_BYTES: usize = 2_048;
/// Bytes kept for a line's number.
const LINE_NUMBER_BYTES: usize = 48;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// How many lines found no room.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Makes numbered lines of what a logger writes.
#[derive(Debug, Default)]
pub struct LineNumberer {
    line: Vec<u8>,
    count: u64,
}

impl LineNumberer {
    /// Takes in bytes; a line with its number once it is whole.
    pub fn add(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.line.extend_from_slice(bytes);
        if !self.line.ends_with(b"\n") {
            return None;
        }
        let mut line = std::mem::take(&mut self.line);
        line.pop();
        self.count += 1;
        let is_cut = line.len() > MAX_LINE_BYTES - LINE_NUMBER_BYTES;
        if is_cut {
            line.truncate(MAX_LINE_BYTES - LINE_NUMBER_BYTES);
        }
        let cut = if is_cut { " cut=true" } else { "" };
        line.extend_from_slice(format!("{cut} line={}\n", self.count).as_bytes());
        Some(line)
    }
}

/// Writes whole lines, as many at once as fit into [`MAX_WRITE_BYTES`] bytes.
///
/// # Errors
/// They cannot be written.
pub fn write_lines(out: &mut impl Write, lines: impl Iterator<Item = Vec<u8>>) -> io::Result<()> {
    let mut chunk = Vec::with_capacity(MAX_WRITE_BYTES);
    for line in lines {
        if chunk.len() + line.len() > MAX_WRITE_BYTES {
            out.write_all(&chunk)?;
            chunk.clear();
        }
        chunk.extend_from_slice(&line);
    }
    out.write_all(&chunk)?;
    out.flush()
}

struct QueueWriter {
    lines: LineNumberer,
    queue: SyncSender<Vec<u8>>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let sent = self.lines.add(bytes).map(|line| self.queue.try_send(line));
        if let Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_))) = sent {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits, together.
fn write_queued(queue: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(first) = queue.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        if let Err(err) = write_lines(&mut out, std::iter::once(first).chain(queue.try_iter())) {
            // Nobody reads the log any more: later lines count as dropped.
            eprintln!("event=log-unwritable error={err:?}");
            return;
        }
    }
}

/// Gives the last lines the time to be written before the process ends.
pub fn wait_for_writes() {
    std::thread::sleep(WRITE_INTERVAL * 2);
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
    let (queue, lines) = sync_channel(QUEUE_LINES);
    std::thread::spawn(move || write_queued(&lines));
    let writer = QueueWriter { lines: LineNumberer::default(), queue };
    if let Err(err) = WriteLogger::init(level, config(), writer) {
        eprintln!("event=log-started-twice error={err:?}");
    }
}
