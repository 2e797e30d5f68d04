//! An entry as a separate process, started by tests and benches and never left behind.

use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A process that is killed, and waited for, when it is dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts `program node` with a settings file that is written first.
    ///
    /// # Errors
    /// The file cannot be written, or the program not started.
    pub fn start_node(
        program: &str,
        path: &Path,
        settings: &str,
        extra_args: &[&str],
        log: Stdio,
    ) -> io::Result<Self> {
        std::fs::write(path, settings)?;
        let mut command = Command::new(program);
        command.args(["node", "--settings"]).arg(path).args(extra_args).stdout(log);
        command.spawn().map(Self)
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// It cannot be waited for.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.0.wait()
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    /// It cannot be asked.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.0.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(err) = self.0.kill().and_then(|()| self.0.wait()) {
            // Nothing more can be done for it here.
            eprintln!("event=process-not-ended id={} error={err:?}", self.0.id());
        }
    }
}
