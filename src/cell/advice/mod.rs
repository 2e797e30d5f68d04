//! What the advice service is asked (`clearance`), and by which entry (`advice`).

pub mod queue;
pub(super) mod request;
