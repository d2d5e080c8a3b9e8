use acacia_wire::flow::mix;

use crate::verdict::{Placement, Request};

/// Places a flow where the agreed table says; if that server takes no new flows, on the eligible
/// one that ranks first for the flow, by weight.
///
/// Two owners who disagree about who is first still choose the same server: the choice depends on
/// the flow and the servers alone.
#[must_use]
pub fn by_table(request: &Request<'_>) -> Placement {
    ranked(request)
        .first()
        .map_or(Placement::Nowhere, |id| Placement::Server(*id))
}

/// The first and the second choice for a flow: the server that the agreed table says, if it takes
/// new flows, and those that rank first by weighted rendezvous.
#[must_use]
pub fn ranked(request: &Request<'_>) -> Vec<u16> {
    const CHOICES: usize = 2;
    let wanted = request.service.next[request.bucket];
    let by_rank = |besides: &[u16]| {
        let eligible = request.service.servers.iter();
        eligible
            .filter(|(id, server)| {
                server.is_eligible() && server.weight > 0 && !besides.contains(id)
            })
            .map(|(&id, server)| (score(request.hash, id, server.weight), id))
            .min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal))
            .map(|(_, id)| id)
    };
    let mut choices = Vec::with_capacity(CHOICES);
    choices.extend(Some(wanted).filter(|wanted| request.service.is_eligible(*wanted)));
    while choices.len() < CHOICES
        && let Some(id) = by_rank(&choices)
    {
        choices.push(id);
    }
    choices
}

/// Weighted rendezvous: the least of exponential variables whose rates are the weights.
pub(crate) fn score(hash: u64, server: u16, weight: u32) -> f64 {
    let draw = mix(hash ^ mix(u64::from(server))) >> 11;
    let unit = (draw as f64 + 1.0) / (1u64 << 53) as f64;
    -unit.ln() / f64::from(weight)
}
