//! Traffic threads, which receive a batch of packets, decide on each and send the results as a
//! batch.

pub mod batch;
pub mod worker;
