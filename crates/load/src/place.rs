use rand::{Rng, RngExt as _};

use crate::{plan::Plan, pool::Server};

/// Picks the position in `ranked` of the server for a new flow; nothing if `ranked` is empty.
/// Anything but 0 is a placement off the flow's first choice and costs a pin.
///
/// Load: one server slows down or hangs, or a burst fills it, within the seconds before weights
/// follow. Harm: its part of the flows waits. A flow moves on from a server that is left alone,
/// and from one that is over its bound with the probability `spill`, which the plan sets so that
/// just the excess moves: all balancers act alike on the same old numbers, and a fixed threshold
/// would send everything to the second choice at once, then everything back. It only moves to one
/// that spills less, so full saturation moves nothing.
///
/// If every choice is left alone the first takes it: a wrong signal must not turn into a refusal.
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
