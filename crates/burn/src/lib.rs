//! The report on service-level burn: how fast each service spends the share of flows that its
//! objective allows to fail.
//!
//! Each balancer keeps a [`Ledger`] of its own counts, in memory only. The operators' client asks
//! all of them, merges the answers ([`Ledger::merge`], in any order, any number of times) and
//! makes a [`Report`], which [`table`], [`json`] and [`page`] show.
//!
//! The balancers' VMs keep nothing: counts from before a balancer's start, and those of balancers
//! that are gone, are lost. Hence every window says for how long it is covered, and an alert rests
//! only on what is known to have failed.

mod alert;
mod count;
mod error;
mod ledger;
mod page;
mod plot;
mod report;
mod table;
mod time_series;

pub use alert::{Alert, RULES, Rule, Severity, alerts};
pub use count::{Count, Mark};
pub use error::Error;
pub use ledger::{Ledger, Source};
pub use page::page;
pub use report::{Objective, Report, Row, WINDOWS, Window, json, report};
pub use table::table;
pub use time_series::TimeSeries;
