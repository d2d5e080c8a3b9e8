//! Counts the outcomes of flows by service, for the report on service-level burn.
//!
//! The platform's configuration doesn't mark callers as on trial, so all flows count as paying.

use std::{sync::Arc, time::Duration};

use acacia_burn::{Count, Mark};
use acacia_catalog::route::Front;
use acacia_cookie::{Reset, Snapshot, Timing};
use acacia_wire::flow::Key;

use crate::ledger::Ledger;

/// Opening time from which a flow counts as slow: its opening packet was retransmitted, which callers
/// do after 200 ms.
const SLOW_OPENING: Duration = Duration::from_millis(200);

/// Counts a flow that was opened. Other timings are ignored.
pub fn count_opened(ledger: &Ledger, timing: &Timing, snapshot: &Snapshot) {
    let Timing::Opening { server, took } = timing else {
        return;
    };
    let slow = u64::from(*took >= SLOW_OPENING);
    let count = Count {
        good: 1 - slow,
        slow,
        ..Count::default()
    };
    add(ledger, server, count, snapshot);
}

/// Counts a flow that was ended because its server is gone.
pub fn count_ended(ledger: &Ledger, ended: &Reset, snapshot: &Snapshot) {
    let count = Count {
        broken: 1,
        ..Count::default()
    };
    add(ledger, &ended.server, count, snapshot);
}

/// Counts an opening that was refused because no server can accept it.
pub fn count_refused(ledger: &Ledger, key: &Key, snapshot: &Snapshot) {
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
    if let Some(server) = snapshot.named(server) {
        ledger.add(&server.service, Mark::Paying, count);
    }
}
