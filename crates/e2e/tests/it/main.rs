//! End-to-end tests with real processes. The comment of each test names the failure that it guards
//! against and its effect on users.

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
