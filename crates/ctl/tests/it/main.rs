//! The operators' commands against a stand-in platform and small balancers, over TCP.

mod command;
mod fixture;
mod settings;
