//! Applying a change: the state machine against a simulated store, and single failures over TCP.

mod decide;
mod fake;
mod tcp;

use acacia_config::{
    Config, Service,
    document::{Draft, Id},
};
use acacia_platform::{apply::Request, retry::Schedule};
use std::time::Duration;

/// A change whose id and configuration are determined by `change`.
pub fn request(change: u8) -> Request {
    let mut config = Config::default();
    config.add_service(Service::new("live", [10, 77, 0, change], 443, 70));
    Request {
        draft: Draft {
            change: Id::new(change.into()),
            author: "aino".into(),
            time: 1_800_000_000,
            config,
            in_force: None,
        },
        reviewed_revision: None,
        read_back: Schedule {
            tries: 4,
            base: Duration::from_millis(5),
            cap: Duration::from_millis(20),
        },
    }
}
