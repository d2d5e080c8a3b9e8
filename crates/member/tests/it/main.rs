//! Integration tests of the membership.

mod cost;
mod faults;
mod net;
mod rules;
