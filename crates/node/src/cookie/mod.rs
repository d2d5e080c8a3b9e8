//! The balancer where packets carry a cookie: flows are resolved from the packet and the list of
//! servers, and control threads only spread the two documents that all must know.

pub mod answer;
mod burn;
pub mod checks;
pub mod control;
pub mod core;
pub mod daemon;
pub mod examine;
pub mod exchange;
pub mod follow;
pub mod leave;
pub mod message;
pub mod meters;
pub mod permit;
pub mod publish;
pub mod receive;
pub mod reload;
pub mod rotation;
pub mod scrape;
pub mod settings;
mod status;
pub mod traffic;

pub use settings::Settings;
