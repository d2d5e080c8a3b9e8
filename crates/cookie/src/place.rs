//! Which server takes a new flow.

use acacia_wire::flow::mix;

/// A server that may take the flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Its position in the snapshot.
    pub position: u32,
    /// A number that names it on every balancer.
    pub hash: u64,
    /// Its part of new flows, in proportion to the others.
    pub weight: f64,
    /// Whether it is in the balancer's own data centre.
    pub local: bool,
}

/// How many candidates of the flow's own order are compared. Two choices take the worst of the
/// imbalance of random placement, three nearly all of it, and two balancers that get the same
/// opening still agree in most cases.
const CHOICES: usize = 3;

/// How much fuller than a server of another data centre one of the own may be and still get the flow. A
/// flow within a data centre survives a cut between them; a queue while others idle is worse.
const DISTANCE: f64 = 1.5;
/// Part of a server's weight in the flow's order where it is in another data centre, so that most of
/// the first [`CHOICES`] are near.
const FAR: f64 = 0.05;

/// Picks the server for the flow with that hash. `load` tells what a server has to do at present, by
/// its position; it is asked of the first [`CHOICES`] alone.
///
/// Takes the least loaded of the first [`CHOICES`] in the flow's own order (weighted rendezvous hashing),
/// which is the same on every balancer of a data centre: at random alone, some servers get twice the flows
/// of others. One of another data centre is taken only if it is much less loaded, see [`DISTANCE`].
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
        let mut entry = Some((cost(flow, &candidate), candidate));
        for place in &mut first {
            if precedes(&entry, place) {
                std::mem::swap(place, &mut entry);
            }
        }
    }
    let weighed = first.into_iter().flatten().map(|(_, candidate)| {
        let distance = if candidate.local { 1.0 } else { DISTANCE };
        (load(candidate.position) * distance, candidate.position)
    });
    let least = weighed.min_by(|(one, _), (other, _)| one.total_cmp(other));
    least.map(|(_, position)| position)
}

fn precedes(one: &Option<(f64, Candidate)>, other: &Option<(f64, Candidate)>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one.0 < other.0,
        (one, other) => one.is_some() && other.is_none(),
    }
}

/// The candidate's number in the flow's order, exponentially distributed with its weight as rate:
/// the smallest is each one's with the probability of its part.
fn cost(flow: u64, candidate: &Candidate) -> f64 {
    let hash = mix(flow ^ mix(candidate.hash));
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let part = if candidate.local { 1.0 } else { FAR };
    -uniform.ln() / (candidate.weight * part).max(f64::MIN_POSITIVE)
}
