use acacia_wire::flow::mix;

use crate::verdict::{Placement, Request};

/// Places a flow where the agreed table says; if that server takes no new flows, on the eligible
/// one that ranks first for the flow, by weight.
///
/// Two owners who disagree about who is first still choose the same server: the choice depends on
/// the flow and the servers alone.
#[must_use]
pub fn by_table(request: &Request<'_>) -> Placement {
    let wanted = request.service.next[request.bucket];
    if request.service.is_eligible(wanted) {
        return Placement::Server(wanted);
    }
    let eligible = request.service.servers.iter();
    eligible
        .filter(|(_, server)| server.is_eligible() && server.weight > 0)
        .map(|(&id, server)| (score(request.hash, id, server.weight), id))
        .min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal))
        .map_or(Placement::Nowhere, |(_, id)| Placement::Server(id))
}

/// Weighted rendezvous: the least of exponential variables whose rates are the weights.
pub(crate) fn score(hash: u64, server: u16, weight: u32) -> f64 {
    let draw = mix(hash ^ mix(u64::from(server))) >> 11;
    let unit = (draw as f64 + 1.0) / (1u64 << 53) as f64;
    -unit.ln() / f64::from(weight)
}
