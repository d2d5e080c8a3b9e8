//! Burn rates of service-level objectives: how fast each service spends its error budget, the share
//! of flows that its objective allows to fail.
//!
//! Each balancer counts flows in a [`Ledger`], in memory only. The operators' client fetches the
//! ledgers of all balancers, merges them ([`Ledger::merge`], in any order and any number of times)
//! and creates a [`Report`], which [`table`], [`json`] and [`page`] render.
//!
//! Nothing is stored on the balancers' VMs: counts from before a balancer started, and those of
//! balancers that are gone, are lost. Each window therefore states how much of it is covered, and
//! alerts are based only on flows that are known to have failed.

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
pub use time_series::Series;
