use rand::{Rng, RngExt as _};

use crate::{plan::Plan, pool::Server};

/// Returns the position in `ranked` of the server for a new flow, or `None` if `ranked` is empty.
/// Any position but 0 is not the flow's first choice and needs a pin.
///
/// A server may slow down, hang or be filled by a burst, and weights react only seconds later.
/// Until then new flows move off an ejected server, and off a server above its bound with the
/// probability `spill`. The plan sets `spill` so that only the excess moves: all balancers act on
/// the same outdated figures, and with a fixed threshold all flows would move to the second choice
/// at once and then all back. A flow moves only to a server that spills less, so nothing moves when
/// all servers are saturated alike.
///
/// If every choice is ejected, the first one gets the flow: a wrong signal must not cause a refusal.
#[must_use]
pub fn choose(ranked: &[Server], plan: &Plan, rng: &mut impl Rng) -> Option<usize> {
    let usable = |position: &usize| !plan.standing(ranked[*position]).ejected;
    let Some(first) = (0..ranked.len()).find(usable) else {
        return (!ranked.is_empty()).then_some(0);
    };
    let spill = plan.standing(ranked[first]).spill;
    if spill <= 0.0 || !rng.random_bool(spill.min(1.0)) {
        return Some(first);
    }
    let second = (first + 1..ranked.len())
        .filter(usable)
        .find(|position| plan.standing(ranked[*position]).spill < spill);
    Some(second.unwrap_or(first))
}
