use serde::{Deserialize, Serialize};

/// The last frame that the sender has from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's incarnation at that time.
    pub incarnation: u64,
    /// That frame's sequence number.
    pub sequence: u64,
}

/// What an authenticated frame contains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FramePayload {
    /// The receiver. Without it a recorded frame could be played to a balancer it was not sent to.
    pub to: u16,
    /// What the sender last received from `to`.
    pub echo: Option<Echo>,
    /// The encoded message; none in a frame that only keeps the connection alive.
    pub body: Option<Vec<u8>>,
}
