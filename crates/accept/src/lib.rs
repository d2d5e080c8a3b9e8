//! Accepts TCP connections and limits how many are open and for how long.
//!
//! Any host that reaches a port can open connections and send nothing, and a peer that loses power
//! never closes its connections. [`listen`] therefore accepts every connection and closes others to
//! stay within the limits. A connection is pending until its first valid message, and active from
//! then on. A new connection can displace a pending one but never an active one, and both kinds
//! have deadlines. Connections that are closed early are counted in [`Stats`] and logged, at most
//! one line a second.
//!
//! [`Table`] makes these decisions and uses neither sockets nor clocks.

mod limiter;
mod listen;
mod stats;
mod table;

pub use limiter::{Limiter, Slot};
pub use listen::listen;
pub use stats::Stats;
pub use table::{Activation, Admission, Limits, Table};
