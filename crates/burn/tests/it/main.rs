//! Tests of the report on service-level burn.

mod alert;
mod ledger;
mod show;
