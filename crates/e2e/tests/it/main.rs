//! Tests with real processes: each opens with what goes wrong and what a user notices.

mod change;
mod cut;
mod fixture;
mod whole_path;
