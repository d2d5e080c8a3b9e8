//! What keeps server numbers from being used twice, and backend servers from being handed to
//! another service too early.

use std::net::SocketAddr;

use acacia_flow::{pin::IDLE, snapshot::Address};
use serde::{Deserialize, Serialize};

/// Addresses without a service whose next server number is remembered one by one.
///
/// Load: services that come and go, at most a few thousand changes a day. Harm: a list that only
/// grows fills the store's megabyte. 4,096 take about 300 KB, and stand for more than a day of the
/// 3,800 changes that we design for. What is beyond goes into the [`RetiredSummary`], which stays correct.
pub const MAX_RETIRED: usize = 4_096;
/// Addresses of backend servers that are remembered until all balancers stopped using them.
///
/// Load: removals while some balancer is cut off for days. Harm: as above. The oldest are dropped,
/// as they have been out of use for the longest.
pub const MAX_RELEASED: usize = 4_096;

/// An address whose service was removed. Balancers with older tables may still hold pins that
/// name its servers by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retired {
    /// The address.
    pub address: Address,
    /// The next unused server number there; above `u16::MAX` when all are used.
    pub next_number: u32,
    /// When the service was removed, in seconds of Unix time.
    pub at: u64,
}

/// What is still known of retired addresses that are no longer listed, all taken together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredSummary {
    /// The first server number at an address that is not listed: above all that were used at any
    /// of the addresses folded.
    pub next_number: u32,
    /// Until when a service that appears at such an address may follow upon another, in seconds of
    /// Unix time.
    pub strict_until: u64,
}

impl Default for RetiredSummary {
    fn default() -> Self {
        RetiredSummary {
            next_number: 1,
            strict_until: 0,
        }
    }
}

/// A backend server that no table names any longer.
///
/// A balancer with older tables still sends it packets of its former service. It is not given to
/// another one before all balancers are known to have stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// Where it takes encapsulated packets.
    pub server: SocketAddr,
    /// The first version of the tables without it.
    pub version: u64,
}

/// Seconds for which a service that follows upon another at its address is strict.
pub(crate) const STRICT: u64 = IDLE / 1_000;

/// Takes the address out of those retired: the first number to use there, and until when a
/// service there is strict.
pub(crate) fn revive(
    retired: &mut Vec<Retired>,
    fold: &RetiredSummary,
    address: &Address,
    now: u64,
) -> (u32, Option<u64>) {
    let at = retired.iter().position(|old| old.address == *address);
    match at.map(|at| retired.remove(at)) {
        Some(old) => (old.next_number, Some(now + STRICT)),
        None if now < fold.strict_until => (fold.next_number, Some(now + STRICT)),
        None => (fold.next_number, None),
    }
}

/// Folds what is beyond the bound. Those go first that can have no live flows any longer, and
/// among these the ones with the lowest numbers, which use up the fewest numbers elsewhere.
pub(crate) fn fold(retired: &mut Vec<Retired>, fold: &mut RetiredSummary, now: u64) {
    let is_young = |old: &Retired| now < old.at + STRICT;
    while retired.len() > MAX_RETIRED {
        let order = |at: &usize| (is_young(&retired[*at]), retired[*at].next_number);
        let Some(at) = (0..retired.len()).min_by_key(order) else {
            return;
        };
        let old = retired.remove(at);
        fold.next_number = fold.next_number.max(old.next_number);
        fold.strict_until = fold.strict_until.max(old.at + STRICT);
    }
}
