//! The status in the response to a part.

use crate::InvalidFrame;
use fanout_policy::api::Outcome;

/// How a data server finished a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// The part was served.
    Succeeded,
    /// The part ran and ended with an error.
    Failed,
    /// The server rejected the part without running it.
    Rejected,
}

impl PartStatus {
    const ALL: [PartStatus; 3] = [
        PartStatus::Succeeded,
        PartStatus::Failed,
        PartStatus::Rejected,
    ];

    /// Returns the status as it is written in a frame.
    pub(crate) fn as_wire(self) -> &'static str {
        match self {
            PartStatus::Succeeded => "good",
            PartStatus::Failed => "bad",
            PartStatus::Rejected => "later",
        }
    }

    /// Parses a status from a frame.
    ///
    /// # Errors
    ///
    /// [`InvalidFrame::UnknownStatus`] if no status is written like this.
    pub(crate) fn from_wire(bytes: &[u8]) -> Result<Self, InvalidFrame> {
        let mut statuses = PartStatus::ALL.into_iter();
        let status = statuses.find(|status| status.as_wire().as_bytes() == bytes);
        status.ok_or(InvalidFrame::UnknownStatus)
    }
}

impl From<PartStatus> for Outcome {
    fn from(status: PartStatus) -> Self {
        match status {
            PartStatus::Succeeded => Outcome::Served,
            PartStatus::Failed => Outcome::Error,
            PartStatus::Rejected => Outcome::Overloaded,
        }
    }
}
