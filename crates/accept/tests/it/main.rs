//! Tests of the limits on accepted connections.

mod listen;
mod table;
