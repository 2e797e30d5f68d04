//! An entry as a child process, for tests and benches.

use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A child process that is killed and waited for when it is dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Writes `settings` to `path` and starts `program node` with that file and `extra_args`.
    ///
    /// # Errors
    /// The file cannot be written, or the program cannot be started.
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

    /// The process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Waits for the process to end.
    ///
    /// # Errors
    /// The process cannot be waited for.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.0.wait()
    }

    /// The exit status, if the process has ended.
    ///
    /// # Errors
    /// The status cannot be queried.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.0.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(err) = self.0.kill().and_then(|()| self.0.wait()) {
            // A destructor cannot return the error.
            eprintln!("event=process-kill-failed id={} error={err:?}", self.0.id());
        }
    }
}
