//! Log lines: one line of key=value pairs for each event, on standard output, never blocking.
//!
//! Lines wait in a bounded queue for a thread of their own; what finds no room is counted.

use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Chunks of lines that may wait; about two seconds of the busiest owner.
const QUEUE: usize = 8_192;
/// Lines are written this often: one wake-up and one system call for some 40 lines of a busy owner
/// in place of one each.
const GATHER: Duration = Duration::from_millis(25);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// How many chunks found no room.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

struct Sink {
    line: Vec<u8>,
    queue: SyncSender<Vec<u8>>,
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            match self.queue.try_send(line) {
                Ok(()) => {}
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    DROPPED.fetch_add(1, Ordering::Relaxed);
                }
            }
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
    while let Ok(mut lines) = queue.recv() {
        std::thread::sleep(GATHER);
        for more in queue.try_iter() {
            lines.extend_from_slice(&more);
        }
        if let Err(err) = out.write_all(&lines).and_then(|()| out.flush()) {
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
    let sink = Sink { line: Vec::new(), queue };
    if let Err(err) = WriteLogger::init(level, config(), sink) {
        eprintln!("event=log-started-twice error={err:?}");
    }
}
