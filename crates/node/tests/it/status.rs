//! What operators are told.

use std::{sync::Arc, time::Duration};

use acacia_api::{Status, status::Phase};
use acacia_flow::{Shards, shard::Limits};
use acacia_node::{control::core::Core, settings::Settings};

use crate::settings::valid;

fn status(at: Duration) -> Status {
    let settings = Settings::parse(&valid()).unwrap();
    let core = Core::new(Arc::new(settings), 1, Duration::from_secs(100));
    core.status(at, &Shards::new(4, Limits::default()))
}

#[test]
fn a_balancer_that_has_just_started_says_so_and_names_its_peers() {
    let status = status(Duration::from_secs(100));

    assert_eq!(status.phase, Phase::Starting);
    assert_eq!((&*status.name, status.id), ("balancer-3", 3));
    assert_eq!((status.revision, status.store_ms), (None, None));
    assert_eq!((status.services.len(), status.pins), (0, 0));
    let peers: Vec<_> = status
        .peers
        .iter()
        .map(|peer| (peer.id, peer.admin, peer.heard_ms))
        .collect();
    assert_eq!(peers, [(4, "127.0.0.2:6082".parse().unwrap(), None)]);
}
