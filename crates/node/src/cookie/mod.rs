//! The balancer for packets that carry a cookie. Flows are resolved from the packet and the list of
//! servers alone, so that the control threads only distribute what all balancers need: the
//! configuration, the servers and the evacuations.

pub mod answer;
mod burn;
pub mod checks;
pub mod control;
pub mod core;
pub mod daemon;
pub mod examine;
pub mod exchange;
pub mod flows;
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
