//! Accepts connections within limits.
//!
//! Anyone who reaches a port can open connections and say nothing, and the end of a peer that lost
//! power never arrives. [`listen`] therefore accepts every connection and closes others to make room:
//! a connection is pending until its first valid message, and then active. Pending connections give
//! way to newer ones, never active ones to pending ones, and both have deadlines. What is closed
//! early is counted in [`Stats`] and logged, one line a second at most.
//!
//! [`ConnectionTable`] decides without sockets or clocks.

mod limiter;
mod listen;
mod stats;
mod table;

pub use limiter::{Limiter, Slot};
pub use listen::listen;
pub use stats::Stats;
pub use table::{Activation, Admission, ConnectionTable, Limits};
