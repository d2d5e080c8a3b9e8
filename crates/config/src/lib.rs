//! The operators' configuration as typed values, and its INI form.
//!
//! A [`Config`] is built in Rust or parsed from INI with [`parse`]. [`check`] lists all of its
//! problems, [`print()`] prints its canonical form, [`plan`] compares two configurations, and
//! [`document`] defines the value in the platform's store.
//!
//! ```
//! use acacia_config::{Config, Mark, Server, Service};
//!
//! let mut config = Config::default();
//! config
//!     .add_service(Service::new("talkoo-live", [10, 77, 0, 1], 443, 70).callers(Mark::Paying))
//!     .add_server(Server::new("hervanta-1", "talkoo-live", "10.1.0.1:6080".parse()?, "hervanta"));
//! let text = acacia_config::print(&config);
//! assert_eq!(acacia_config::parse(&text)?, config);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod check;
mod config;
mod customer;
pub mod customer_index;
pub mod document;
mod objective;
mod parse;
pub mod plan;
mod print;
mod problem;
mod server;
mod service;

pub use check::check;
pub use config::Config;
pub use customer::{Customer, Mark, Prefix};
pub use objective::{Latency, Objective, Ratio};
pub use parse::parse;
pub use print::print;
pub use problem::{Invalid, Problem};
pub use server::{Server, State};
pub use service::{Limit, Protocol, Service};
