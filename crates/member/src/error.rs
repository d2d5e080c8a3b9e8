use acacia_code::Code;
use thiserror::Error;

/// Why a heartbeat was dropped. Nothing of it may be used, its payload included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// Of an older incarnation than the one known.
    #[error("heartbeat of an older incarnation")]
    Older,
    /// Its number, or a later one, was seen before.
    #[error("heartbeat was seen before")]
    Replayed,
    /// It bears this balancer's own id.
    #[error("heartbeat bears this balancer's own id")]
    Own,
    /// The group holds as many members as it may.
    #[error("group is full")]
    Full,
}

impl Refusal {
    /// The numbered code.
    ///
    /// ```
    /// assert_eq!(acacia_member::Refusal::Replayed.code().number(), 299);
    /// ```
    #[must_use]
    pub fn code(self) -> Code {
        match self {
            Refusal::Older | Refusal::Replayed => Code::MemberReplayed,
            Refusal::Own => Code::MemberOutdated,
            Refusal::Full => Code::MemberLimit,
        }
    }
}
