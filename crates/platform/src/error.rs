use std::time::Duration;

use acacia_code::Code;
use thiserror::Error;

use crate::store::Refusal;

/// Why a call to the platform failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// There is no connection. The call was not sent and has had no effect.
    #[error("the platform can't be reached")]
    Unreachable,
    /// A read was not answered in time.
    #[error("the platform did not answer in time")]
    Timeout,
    /// A write was not answered. It may have taken effect or may still do so; only a later read
    /// shows which.
    #[error("the platform's answer to a write was lost: it may have taken effect")]
    Unknown,
    /// The answer is older than one that the platform gave before.
    #[error("the platform answered revision {answered}, older than {seen} seen before")]
    Stale {
        /// The revision in the answer.
        answered: u64,
        /// The highest revision seen for that key.
        seen: u64,
    },
    /// The platform refused the call, which has had no effect.
    #[error("the platform refused the call: {0:?}")]
    Refused(Refusal),
    /// The platform is overloaded and has not processed the call.
    #[error("the platform is busy; the call was not made")]
    Busy,
    /// The store no longer holds the requested history.
    #[error("the store no longer holds the requested history")]
    HistoryGone,
    /// The answer can't be decoded or does not belong to the kind of call.
    #[error("the platform's answer is malformed")]
    Malformed,
    /// The answer is longer than can be read. The same call would be answered in the same way.
    #[error("the platform's answer is longer than {limit} bytes")]
    TooLong {
        /// What was read at most, in bytes. It is less than the transport's limit if the answer arrived too
        /// slowly.
        limit: usize,
    },
    /// The platform does not offer the call.
    #[error("the platform does not offer this call")]
    Unsupported,
    /// The client's own rate limit is reached. The call was not made.
    #[error("the rate limit on calls to the platform is reached; try again in {after:?}")]
    Limited {
        /// How long until the limit allows the next call.
        after: Duration,
    },
}

impl Error {
    /// The result code of this error.
    ///
    /// ```
    /// use acacia_platform::Error;
    /// assert_eq!(Error::Unknown.code().number(), 32);
    /// ```
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Error::Unreachable => Code::PlatformUnreachable,
            Error::Timeout => Code::PlatformTimeout,
            Error::Unknown => Code::PlatformUnknown,
            Error::Stale { .. } => Code::PlatformStale,
            Error::Refused(Refusal::TooLarge) => Code::PlatformTooLarge,
            Error::Refused(Refusal::LeaseGone) => Code::PlatformLeaseGone,
            Error::Busy => Code::PlatformBusy,
            Error::HistoryGone => Code::PlatformHistoryGone,
            Error::Malformed => Code::PlatformMalformed,
            Error::TooLong { .. } => Code::PlatformAnswerTooLong,
            Error::Unsupported => Code::PlatformUnsupported,
            Error::Limited { .. } => Code::PlatformLimited,
        }
    }
}
