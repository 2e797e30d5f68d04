//! The reasons for which a step waits.

use serde::{Deserialize, Serialize};

/// Why tasks of a step have no worker yet. New reasons go last: entries of two versions tell each other by their places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// An earlier owner may have started them where this one cannot see it yet.
    Takeover,
    /// The advice service has not answered.
    Advice,
    /// The service cleared none of the workers that it was asked about.
    NoneCleared,
    /// No worker that is cleared takes tasks now.
    NoWorker,
    /// Workers may have crashed under its tasks, which wait until that is known.
    Crashes,
    /// No worker is large enough now: the room of some may have shrunk.
    TooLarge,
    /// Its workspace runs as much as it may.
    #[serde(rename = "bound")]
    WorkspaceLimit,
    /// Cleared workers have no room, or none that is not kept for others.
    Room,
    /// Workers crashed under its tasks, and those with room for them have not stayed up for long enough yet.
    NewWorkers,
}

impl WaitReason {
    /// The name in log lines.
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
