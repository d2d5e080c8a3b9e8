//! Selection of a server for a new flow.

use acacia_wire::flow::mix;

/// A server that is eligible for the flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Its index in the snapshot.
    pub position: u32,
    /// Hash of its name, the same on every balancer.
    pub hash: u64,
    /// Its share of new flows, relative to the other candidates, times the number of servers that it
    /// stands for.
    pub weight: f64,
    /// Whether it is in the balancer's own data centre.
    pub local: bool,
}

/// Number of candidates, the first in the flow's rendezvous order, whose loads are compared. Two
/// remove the worst of the imbalance of random placement, three nearly all of it, and two balancers
/// that receive the same SYN still agree in most cases.
const CHOICES: usize = 3;

/// Factor on the load of a server in another data centre: a local server may be fuller by up to this
/// factor and still get the flow. A flow within a data centre survives a partition between data
/// centres, but queueing at local servers while remote ones idle is worse.
const REMOTE_LOAD_FACTOR: f64 = 1.5;
/// Factor on the weight of a server in another data centre in the flow's rendezvous order, so that
/// most of the first [`CHOICES`] candidates are local.
const REMOTE_WEIGHT_FACTOR: f64 = 0.05;

/// Selects the server for the flow with the hash `flow`, and returns its index. `load` gives the
/// current load of the server at an index; it is called for at most [`CHOICES`] candidates.
///
/// Selects the least loaded of the first [`CHOICES`] candidates in the flow's order by weighted
/// rendezvous hashing, which is the same on every balancer of a data centre. By rendezvous hashing
/// alone, some servers would get twice as many flows as others. A server in another data centre is
/// selected only if it is much less loaded, see [`REMOTE_LOAD_FACTOR`].
///
/// ```
/// use acacia_cookie::place::{Candidate, choose};
/// let server = |position| Candidate {
///     position, hash: position.into(), weight: 1.0, local: true,
/// };
/// let load = |position| [5.0, 1.0][position as usize];
/// assert_eq!(choose(7, [server(0), server(1)], load), Some(1));
/// assert_eq!(choose(7, [], load), None);
/// ```
#[must_use]
pub fn choose(
    flow: u64,
    candidates: impl IntoIterator<Item = Candidate>,
    load: impl Fn(u32) -> f64,
) -> Option<u32> {
    let mut first: [Option<(f64, Candidate)>; CHOICES] = [None; CHOICES];
    for candidate in candidates {
        let mut entry = Some((rendezvous_key(flow, &candidate), candidate));
        for slot in &mut first {
            if precedes(&entry, slot) {
                std::mem::swap(slot, &mut entry);
            }
        }
    }
    let loads = first.into_iter().flatten().map(|(_, candidate)| {
        let factor = if candidate.local {
            1.0
        } else {
            REMOTE_LOAD_FACTOR
        };
        (load(candidate.position) * factor, candidate.position)
    });
    let least = loads.min_by(|(one, _), (other, _)| one.total_cmp(other));
    least.map(|(_, position)| position)
}

/// Whether an entry comes before another by its rendezvous key; an empty slot comes last.
fn precedes(one: &Option<(f64, Candidate)>, other: &Option<(f64, Candidate)>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.0 < other.0,
        (one, other) => one.is_some() && other.is_none(),
    }
}

/// The key by which rendezvous hashing sorts candidates, exponentially distributed with the
/// candidate's weight as its rate: each candidate has the smallest key with a probability
/// proportional to its weight.
fn rendezvous_key(flow: u64, candidate: &Candidate) -> f64 {
    let hash = mix(flow ^ mix(candidate.hash));
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let factor = if candidate.local {
        1.0
    } else {
        REMOTE_WEIGHT_FACTOR
    };
    -uniform.ln() / (candidate.weight * factor).max(f64::MIN_POSITIVE)
}
