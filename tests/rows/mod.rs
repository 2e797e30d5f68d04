//! Rows of workers' reports, for all tests.

use sprucerudder::order::RunningRow;
use sprucerudder::workload::TaskKey;

/// A run that goes on at its full share and has saved nothing.
pub fn running(task: TaskKey, run: u64) -> RunningRow {
    RunningRow { task, run, saved: "".into(), percent: 100, gauge: None }
}
