//! Tests of the registry of services.

mod registry;
mod run;
