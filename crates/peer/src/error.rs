use acacia_code::Code;
use acacia_wire::control;
use thiserror::Error;

/// Why a call of the mesh failed, or why it dropped a received frame.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The listening socket can't be opened.
    #[error("can't listen on {address}: {reason}")]
    Listen {
        /// The address to listen on.
        address: std::net::SocketAddr,
        /// The system's error.
        reason: String,
    },
    /// A thread can't be spawned.
    #[error("can't spawn a thread: {0}")]
    Spawn(String),
    /// No peer with this id is set.
    #[error("balancer {0} is not a peer")]
    UnknownPeer(u16),
    /// The queue of the peer with this id is full, or the message is too large for a frame.
    #[error("queue for peer {0} is full or the message is too large")]
    QueueFull(u16),
    /// A frame that can't be authenticated or decoded.
    #[error(transparent)]
    Frame(#[from] control::Error),
    /// A frame that is not newer than the last one accepted from its sender.
    #[error("control frame was replayed or is out of order")]
    Replayed,
    /// A frame that is addressed to another balancer, or names this one as its sender.
    #[error("control frame is addressed to another balancer or names this one as its sender")]
    Misaddressed,
}

impl Error {
    /// The error's result code.
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
