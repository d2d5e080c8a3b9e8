//! Tests of the operators' commands against a simulated platform and minimal balancers, over TCP.

mod command;
mod fixture;
mod settings;
