//! Control: one thread holds all state that isn't a flow's, and publishes views for traffic.

pub mod agreement;
pub mod core;
pub mod load;
pub mod platform;
pub mod service;
pub mod table_fetch;
