//! Records that keep server numbers from being reused and backend servers from being assigned to
//! another service too early.

use std::net::SocketAddr;

use acacia_flow::{pin::IDLE_TIMEOUT, snapshot::Address};
use serde::{Deserialize, Serialize};

/// Maximum number of retired addresses listed individually.
///
/// Services are added and removed at most a few thousand times a day. An unbounded list would
/// eventually exceed the store's limit of a megabyte. 4,096 entries take about 300 KB and cover
/// more than a day at the design rate of 3,800 changes. Further entries are merged into the
/// [`Summary`], which keeps numbers unique.
pub const MAX_RETIRED: usize = 4_096;
/// Maximum number of backend servers remembered until all balancers have stopped using them.
///
/// The list grows by each removal while some balancer is unreachable for days, and would exceed
/// the store's limit. The oldest entries are dropped, as they have been out of use for longest.
pub const MAX_RELEASED: usize = 4_096;

/// An address whose service was removed. Balancers with older tables may still hold pins that
/// refer to the service's servers by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retired {
    /// The service's address.
    pub address: Address,
    /// The next unused server number at this address; above `u16::MAX` when all are used.
    pub next_number: u32,
    /// The Unix time, in seconds, at which the service was removed.
    pub at: u64,
}

/// Summary of all retired addresses that are no longer listed individually.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The first server number for a service at an address that is not listed. It is above every
    /// number used at any of the addresses merged into the summary.
    pub next_number: u32,
    /// The Unix time, in seconds, until which a new service at an unlisted address may have had a
    /// predecessor whose flows are still live.
    pub strict_until: u64,
}

impl Default for Summary {
    fn default() -> Self {
        Summary {
            next_number: 1,
            strict_until: 0,
        }
    }
}

/// A backend server that the tables no longer refer to.
///
/// A balancer with older tables still sends it packets of its former service. The server is
/// not assigned to another service before all balancers are known to have newer tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// Where the server receives encapsulated packets.
    pub server: SocketAddr,
    /// The first version of the tables without the server.
    pub version: u64,
}

/// Seconds for which a service is strict if its address had another service before.
pub(crate) const STRICT_SECONDS: u64 = IDLE_TIMEOUT / 1_000;

/// Removes an address from the retired ones, for a new service there. Returns the first server
/// number to use and the time until which the service is strict, if any.
pub(crate) fn take_retired(
    retired: &mut Vec<Retired>,
    summary: &Summary,
    address: &Address,
    now: u64,
) -> (u32, Option<u64>) {
    let at = retired.iter().position(|old| old.address == *address);
    match at.map(|at| retired.remove(at)) {
        Some(old) => (old.next_number, Some(now + STRICT_SECONDS)),
        None if now < summary.strict_until => (summary.next_number, Some(now + STRICT_SECONDS)),
        None => (summary.next_number, None),
    }
}

/// Merges the retired addresses beyond [`MAX_RETIRED`] into the summary. Addresses that can have
/// no live flows any more go first, and among these the ones with the lowest next number, as they
/// skip the fewest numbers at other addresses.
pub(crate) fn merge_excess(retired: &mut Vec<Retired>, summary: &mut Summary, now: u64) {
    let may_have_flows = |old: &Retired| now < old.at + STRICT_SECONDS;
    while retired.len() > MAX_RETIRED {
        let order = |at: &usize| (may_have_flows(&retired[*at]), retired[*at].next_number);
        let Some(at) = (0..retired.len()).min_by_key(order) else {
            return;
        };
        let old = retired.remove(at);
        summary.next_number = summary.next_number.max(old.next_number);
        summary.strict_until = summary.strict_until.max(old.at + STRICT_SECONDS);
    }
}
