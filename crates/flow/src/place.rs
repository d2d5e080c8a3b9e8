use acacia_wire::flow::mix;

use crate::verdict::{Placement, Request};

/// Places a flow on the server that the agreed table gives for its bucket, or, if that server takes
/// no new flows, on the eligible server that ranks highest by weighted rendezvous hashing.
///
/// The choice depends only on the flow and the servers, so two owners that each consider themselves
/// the first still choose the same server.
#[must_use]
pub fn by_table(request: &Request<'_>) -> Placement {
    ranked(request)
        .first()
        .map_or(Placement::Nowhere, |id| Placement::Server(*id))
}

/// Returns the first and second choice for a flow: the server that the agreed table gives, if it
/// takes new flows, then the highest-ranked servers by weighted rendezvous hashing.
#[must_use]
pub fn ranked(request: &Request<'_>) -> Vec<u16> {
    const CHOICES: usize = 2;
    let agreed = request.service.next[request.bucket];
    let by_rank = |excluded: &[u16]| {
        let eligible = request.service.servers.iter();
        eligible
            .filter(|(id, server)| {
                server.is_eligible() && server.weight > 0 && !excluded.contains(id)
            })
            .map(|(&id, server)| (score(request.hash, id, server.weight), id))
            .min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal))
            .map(|(_, id)| id)
    };
    let mut choices = Vec::with_capacity(CHOICES);
    choices.extend(Some(agreed).filter(|agreed| request.service.is_eligible(*agreed)));
    while choices.len() < CHOICES
        && let Some(id) = by_rank(&choices)
    {
        choices.push(id);
    }
    choices
}

/// Weighted rendezvous score; the lowest wins. Scores are exponentially distributed with the weight
/// as rate, so that each server wins in proportion to its weight.
pub(crate) fn score(hash: u64, server: u16, weight: u32) -> f64 {
    let draw = mix(hash ^ mix(u64::from(server))) >> 11;
    let unit = (draw as f64 + 1.0) / (1u64 << 53) as f64;
    -unit.ln() / f64::from(weight)
}
