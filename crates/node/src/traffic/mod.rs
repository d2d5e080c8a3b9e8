//! Traffic threads: receive a batch, decide on each packet, send a batch.

pub mod batch;
pub mod worker;
