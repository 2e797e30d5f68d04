//! The reasons why a step waits.

use serde::{Deserialize, Serialize};

/// Why tasks of a step have no worker yet.
///
/// New reasons must be added at the end: entries that run different versions identify a reason by
/// its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// An earlier owner may have started the tasks on workers that have not reported to this owner
    /// yet.
    Takeover,
    /// The advice service has not answered the request about the step.
    Advice,
    /// The advice service cleared none of the workers that it was asked about.
    NoneCleared,
    /// None of the workers that may run the step accepts tasks now.
    NoWorker,
    /// Workers may have crashed while they ran the tasks. The tasks wait until the crashes are
    /// confirmed or ruled out.
    Crashes,
    /// No worker is large enough for a task now. The resources of some workers may have shrunk.
    TooLarge,
    /// The running tasks of the job's workspace have reached its resource limit.
    #[serde(rename = "bound")]
    WorkspaceLimit,
    /// Workers that may run the step have no free resources, or only resources that are reserved
    /// for other steps.
    Room,
    /// Workers crashed while they ran the tasks, and the workers with free resources have not been
    /// up for long enough yet.
    NewWorkers,
}

impl WaitReason {
    /// The name of the reason in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Takeover => "takeover",
            Self::Advice => "advice",
            Self::NoneCleared => "none-cleared",
            Self::NoWorker => "no-worker",
            Self::Crashes => "crashes",
            Self::TooLarge => "too-large",
            Self::WorkspaceLimit => "bound",
            Self::Room => "room",
            Self::NewWorkers => "new-workers",
        }
    }
}
