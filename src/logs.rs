//! Log output: one line of key=value pairs for each event, on standard output. Logging never blocks.
//!
//! A writer thread takes the lines from a bounded queue. Each line ends with its number, so that a reader
//! notices missing lines. Lines that don't fit into the queue are dropped and counted.

use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Capacity of the queue, in lines; enough for about two seconds of a very busy owner.
const QUEUE_LINES: usize = 8_192;
/// Interval between writes. A busy owner logs some 40 lines in it, for which the writer wakes up once
/// instead of 40 times.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum size of one write, in bytes: PIPE_BUF of POSIX on Linux. A longer write to a pipe may be split,
/// and a reader that treats a write as a unit would lose the rest of it.
pub const MAX_WRITE_BYTES: usize = 4_096;
/// Maximum length of a line including its number, in bytes.
const MAX_LINE_BYTES: usize = 2_048;
/// Bytes reserved in a line for the truncation mark and the line number.
const LINE_NUMBER_BYTES: usize = 48;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped because the queue was full or its writer had stopped.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Assembles the pieces that a logger writes into numbered lines.
#[derive(Debug, Default)]
pub struct LineNumberer {
    line: Vec<u8>,
    count: u64,
}

impl LineNumberer {
    /// Adds bytes. Returns the line with its number once it is complete; a line that is too long is truncated.
    pub fn add(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.line.extend_from_slice(bytes);
        if !self.line.ends_with(b"\n") {
            return None;
        }
        let mut line = std::mem::take(&mut self.line);
        line.pop();
        self.count += 1;
        let is_truncated = line.len() > MAX_LINE_BYTES - LINE_NUMBER_BYTES;
        if is_truncated {
            line.truncate(MAX_LINE_BYTES - LINE_NUMBER_BYTES);
        }
        let truncation_mark = if is_truncated { " cut=true" } else { "" };
        line.extend_from_slice(format!("{truncation_mark} line={}\n", self.count).as_bytes());
        Some(line)
    }
}

/// Writes complete lines, each write with as many as fit into [`MAX_WRITE_BYTES`].
///
/// # Errors
/// The output cannot be written to.
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
        let queued = self.lines.add(bytes).map(|line| self.queue.try_send(line));
        if let Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_))) = queued {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to standard output in batches, until the output fails.
fn write_queued(queue: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(first) = queue.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        if let Err(err) = write_lines(&mut out, std::iter::once(first).chain(queue.try_iter())) {
            // Standard output has no reader any more. Later lines count as dropped.
            eprintln!("event=log-unwritable error={err:?}");
            return;
        }
    }
}

/// Waits long enough for the last lines to be written before the process exits.
pub fn wait_for_writes() {
    std::thread::sleep(WRITE_INTERVAL * 2);
}

/// Logger configuration: prints nothing but the key=value pairs of the event.
pub fn config() -> Config {
    ConfigBuilder::new()
        .add_filter_allow_str("sprucerudder")
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .build()
}

/// Installs the logger that sends log lines to standard output.
pub fn start(level: LevelFilter) {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    std::thread::spawn(move || write_queued(&lines));
    let writer = QueueWriter { lines: LineNumberer::default(), queue };
    if let Err(err) = WriteLogger::init(level, config(), writer) {
        eprintln!("event=logger-already-installed error={err:?}");
    }
}
