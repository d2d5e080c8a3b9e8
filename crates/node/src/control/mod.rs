//! The control thread, which owns all state except that of flows, and publishes views for the
//! traffic threads.

pub mod agreement;
pub mod core;
pub mod load;
pub mod platform;
pub mod service;
pub mod table_fetch;
