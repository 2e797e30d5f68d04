//! The evidence of an attempt to connect to the owner of a cell.

/// The outcome of an attempt to connect to an owner that did not lead to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// The connection was not accepted in time.
    Silent,
    /// The connection was refused or reset.
    Refused,
    /// A process at the owner's address answered that it is not the owner in that epoch.
    OtherProcess,
}

impl Contact {
    /// Whether the owner of that epoch has certainly ended. A refused connection does not show it: a
    /// network partition may refuse connections to a process that is alive and renews leases.
    pub fn proves_end(self) -> bool {
        matches!(self, Self::OtherProcess)
    }
}
