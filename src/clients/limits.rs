//! The shares of a process's memory and descriptors that its clients may use together.

/// The part of the process's memory for what clients hold beyond [`CONNECTION_BYTES`] each.
const REQUEST_SHARE: u64 = 16;
/// The part of the process's memory for connections.
const CONNECTION_SHARE: u64 = 8;
/// The part of the process's memory for jobs that other entries have sent and that are not decided.
const SUBMISSION_SHARE: u64 = 16;
/// The memory of a connection whose header and body are small, in bytes: the buffer for reading, the
/// start of a body, the state of a request, and what has arrived and is not read.
const CONNECTION_BYTES: u64 = 24 * 1_024;
/// The memory that a connection takes for a large header or an answer that is not read, as a
/// multiple of the largest header.
const HEADERS_PER_BUFFER: u64 = 2;
/// The smallest buffer of the HTTP library for reading, in bytes.
pub const MIN_READ_BUFFER: usize = 8_192;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// The part of the sockets for callers. The others are for the store, workers and other entries.
const CALLER_SHARE: usize = 2;
/// The part of the sockets for each listener of the platform: readiness checks and metrics.
const PLATFORM_SHARE: usize = 16;
/// The most connections of each listener of the platform, which a few clients use.
const MAX_PLATFORM_CONNECTIONS: usize = 64;
/// The part of a header, of a body or of a job that does not count toward the common budget, in bytes.
pub const FREE_BYTES: usize = 4_096;
/// The receive buffer of a connection, in bytes.
pub const RECEIVE_BUFFER: u32 = 8_192;

/// The kind of clients that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers that submit jobs or ask for them.
    Callers,
    /// The platform, which checks readiness or reads metrics.
    Platform,
}

/// The limits on the clients of one process.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// The memory of the process, in bytes; `None` if it is not limited.
    memory: Option<u64>,
    /// The sockets that the process may have open; `None` if they are not limited.
    sockets: Option<usize>,
}

impl ClientLimits {
    /// Creates the limits of a process with this memory in bytes and these descriptors.
    pub fn new(memory: Option<u64>, descriptors: Option<usize>) -> Self {
        let sockets = descriptors.map(|count| count.saturating_sub(FILE_DESCRIPTORS));
        Self { memory, sockets }
    }

    /// The common budget: the memory for what all clients hold beyond [`CONNECTION_BYTES`] each, in
    /// bytes.
    pub fn request_bytes(&self) -> u64 {
        self.memory.map_or(u64::MAX, |memory| memory / REQUEST_SHARE)
    }

    /// The memory for jobs that other entries have sent to an owner and that are not decided, in
    /// bytes.
    pub fn submission_bytes(&self) -> u64 {
        self.memory.map_or(u64::MAX, |memory| memory / SUBMISSION_SHARE)
    }

    /// The memory that a connection takes for a large header or an answer that is not read, in bytes.
    /// `header_bytes`: the largest header.
    pub fn buffer_bytes(header_bytes: usize) -> u64 {
        HEADERS_PER_BUFFER * header_bytes.max(MIN_READ_BUFFER) as u64
    }

    /// The most connections to a listener, at least one.
    pub fn connections(&self, kind: ListenerKind) -> usize {
        let fitting =
            self.memory.map_or(u64::MAX, |bytes| bytes / CONNECTION_SHARE / CONNECTION_BYTES);
        let fitting = usize::try_from(fitting).unwrap_or(usize::MAX);
        let sockets = self.sockets.unwrap_or(usize::MAX);
        let limit = match kind {
            ListenerKind::Callers => fitting.min(sockets / CALLER_SHARE),
            ListenerKind::Platform if self.is_unlimited() => usize::MAX,
            ListenerKind::Platform => MAX_PLATFORM_CONNECTIONS.min(sockets / PLATFORM_SHARE),
        };
        limit.max(1)
    }

    /// Whether neither memory nor descriptors are limited.
    pub fn is_unlimited(&self) -> bool {
        self.memory.is_none() && self.sockets.is_none()
    }
}
