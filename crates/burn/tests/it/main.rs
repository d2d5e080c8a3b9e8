//! Tests of the burn-rate report.

mod alert;
mod ledger;
mod show;
