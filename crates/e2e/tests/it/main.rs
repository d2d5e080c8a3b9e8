//! Tests with real processes: each opens with what goes wrong and what a user notices.

mod change;
mod fixture;
mod whole_path;
