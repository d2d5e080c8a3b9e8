use acacia_code::Code;
use acacia_wire::control;
use thiserror::Error;

/// Why the mesh could not do what it was asked, or dropped a frame.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The listening socket can't be opened.
    #[error("can't listen on {address}: {reason}")]
    Listen {
        /// Where.
        address: std::net::SocketAddr,
        /// Why not.
        reason: String,
    },
    /// A thread can't be spawned.
    #[error("can't spawn a thread: {0}")]
    Spawn(String),
    /// No such peer is set.
    #[error("no peer {0}")]
    UnknownPeer(u16),
    /// The peer's queue is full, or the message is larger than any frame.
    #[error("queue for peer {0} is full")]
    QueueFull(u16),
    /// A frame that can't be opened.
    #[error(transparent)]
    Frame(#[from] control::Error),
    /// A frame that was received before, or is older than one that was.
    #[error("control frame was seen before")]
    Replayed,
    /// A frame for another balancer.
    #[error("control frame is for another balancer")]
    Misaddressed,
}

impl Error {
    /// The numbered code.
    ///
    /// ```
    /// assert_eq!(acacia_peer::Error::Replayed.code().number(), 294);
    /// ```
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Error::Listen { .. } => Code::SocketFailed,
            Error::Spawn(_) => Code::ServiceStartFailed,
            Error::UnknownPeer(_) | Error::Misaddressed => Code::ControlMisaddressed,
            Error::QueueFull(_) => Code::ControlQueueFull,
            Error::Frame(control::Error::Truncated) => Code::ControlTruncated,
            Error::Frame(control::Error::Oversized) => Code::ControlOversized,
            Error::Frame(control::Error::Forged) => Code::ControlForged,
            Error::Frame(control::Error::Undecodable) => Code::ControlUndecodable,
            Error::Replayed => Code::ControlReplayed,
        }
    }
}
