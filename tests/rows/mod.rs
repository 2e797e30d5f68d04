//! Rows of workers' reports, for all tests.

use sprucerudder::order::RunningTask;
use sprucerudder::workload::TaskKey;

/// A run that goes on at its full share and has saved nothing.
pub fn running(task: TaskKey, run: u64) -> RunningTask {
    RunningTask { task, run, checkpoint: "".into(), pace_percent: 100, gauge: None }
}
