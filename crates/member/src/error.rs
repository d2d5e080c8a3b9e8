use acacia_code::Code;
use thiserror::Error;

/// Why a heartbeat was dropped. No part of it may be used, its payload included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// It belongs to an older incarnation of the sender than the one known.
    #[error("heartbeat of an older incarnation")]
    Older,
    /// Its number is not higher than that of the last accepted heartbeat.
    #[error("heartbeat was seen before")]
    Replayed,
    /// Its sender has this balancer's own id.
    #[error("heartbeat bears this balancer's own id")]
    Own,
    /// The group already has [`MAX_GROUP`](crate::MAX_GROUP) members, none of them dead.
    #[error("group is full")]
    Full,
}

impl Refusal {
    /// The code under which the refusal is reported.
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
