//! Tests of the decisions made under load.

mod admit;
mod eject;
mod fixture;
mod place;
mod report;
mod weight;
