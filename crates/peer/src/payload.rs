use serde::{Deserialize, Serialize};

/// Identifies the last frame that the sender of an echo received from its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The incarnation under which the receiver sent that frame.
    pub incarnation: u64,
    /// That frame's sequence number.
    pub sequence: u64,
}

/// The authenticated content of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// The id of the receiver. Without it, a recorded frame could be replayed to another balancer.
    pub to: u16,
    /// The last frame that the sender received from `to`; none if it has received none.
    pub echo: Option<Echo>,
    /// The encoded message; none in a frame that only opens a connection or carries an echo.
    pub body: Option<Vec<u8>>,
}
