//! The operators' commands against a stand-in platform and small balancers, over TCP.

mod fixture;
mod settings;
mod verb;
