//! Tests with real processes: each opens with what goes wrong and what a user notices.

mod bad_input;
mod change;
mod cut;
mod fixture;
mod known_red;
mod platform;
mod shutdown;
mod stand_in;
mod takeover;
mod whole_path;
