//! How flows ended, for the report on service-level burn.
//!
//! The platform's configuration marks nobody as trial, so all count as paying.

use std::{sync::Arc, time::Duration};

use acacia_burn::{Count, Mark};
use acacia_catalog::route::Front;
use acacia_cookie::{Reset, Snapshot, Timing, cookie::Cookie};
use acacia_wire::flow::Key;

use crate::ledger::Ledger;

/// An opening that took longer needed a second copy of the caller's packet, which comes after 200 ms.
const SLOW: Duration = Duration::from_millis(200);

/// A flow has opened.
pub fn opened(ledger: &Ledger, timing: &Timing, snapshot: &Snapshot) {
    let Timing::Opening { server, took } = timing else {
        return;
    };
    let slow = u64::from(*took >= SLOW);
    let count = Count {
        good: 1 - slow,
        slow,
        ..Count::default()
    };
    add(ledger, server, count, snapshot);
}

/// A flow was ended as its server is lost.
pub fn ended(ledger: &Ledger, ended: &Reset, snapshot: &Snapshot) {
    let count = Count {
        broken: 1,
        ..Count::default()
    };
    add(ledger, &ended.server, count, snapshot);
}

/// An opening was refused as no server takes it.
pub fn refused(ledger: &Ledger, key: &Key, snapshot: &Snapshot) {
    let front = Front {
        address: key.service,
        port: key.service_port,
    };
    let route = snapshot.routes.get(&front);
    let Some((pool, _)) = route.and_then(|route| route.pools.first()) else {
        return;
    };
    let count = Count {
        refused: 1,
        ..Count::default()
    };
    let service = &snapshot.pools[*pool as usize].service;
    ledger.add(service, Mark::Paying, count);
}

fn add(ledger: &Ledger, server: &Arc<str>, count: Count, snapshot: &Snapshot) {
    if let Some(server) = snapshot.server(Cookie::of(server, 0)) {
        ledger.add(&server.service, Mark::Paying, count);
    }
}
