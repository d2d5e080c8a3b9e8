use std::time::Duration;

use acacia_code::Code;
use thiserror::Error;

use crate::store::Refusal;

/// Why a call of the platform has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The call never left: there is no connection. It has had no effect.
    #[error("the platform can't be reached")]
    Unreachable,
    /// A read had no answer in time.
    #[error("the platform did not answer in time")]
    Timeout,
    /// A write had no answer. It may have taken effect or may still do so; only reading back
    /// tells.
    #[error("the platform's answer to a write was lost: it may have taken effect")]
    Unknown,
    /// The platform answered a state older than one that it gave before.
    #[error("the platform answered revision {answered}, older than {seen} seen before")]
    Stale {
        /// The revision answered.
        answered: u64,
        /// The highest revision seen of that key.
        seen: u64,
    },
    /// The platform refused. The call has had no effect.
    #[error("the platform refuses: {0:?}")]
    Refused(Refusal),
    /// The platform is too busy for the call, and has not made it.
    #[error("the platform is busy; the call was not made")]
    Busy,
    /// The store no longer holds the history that was asked for.
    #[error("the store no longer holds that history")]
    HistoryGone,
    /// The answer can't be understood.
    #[error("the platform's answer can't be understood")]
    Malformed,
    /// The platform does not offer the call.
    #[error("the platform does not offer this call")]
    Unsupported,
    /// Our own limit on calls. The call was not made.
    #[error("the limit on calls to the platform is reached; try again in {after:?}")]
    Limited {
        /// When the limit allows the next call.
        after: Duration,
    },
}

impl Error {
    /// The error's row in the table of result codes.
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
            Error::Unsupported => Code::PlatformUnsupported,
            Error::Limited { .. } => Code::PlatformLimited,
        }
    }
}
