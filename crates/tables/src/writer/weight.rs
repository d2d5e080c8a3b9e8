//! Comparison of weights.

use crate::{
    document::{Document, State},
    update::NOMINAL_WEIGHT,
};

/// Difference to the weight in force, in percent, up to which a change is treated as noise.
pub const HYSTERESIS: u32 = 10;

/// Whether a measured weight differs from the one in force by more than noise.
pub(super) fn differs_significantly(old: u32, new: u32) -> bool {
    /// Lower bound of the weight that the percentage refers to. A percentage of a smaller weight is
    /// not meaningful.
    const MIN_REFERENCE: u32 = NOMINAL_WEIGHT / 10;
    let difference = u64::from(old.abs_diff(new)) * 100;
    let starts_or_ends = (old == 0) != (new == 0);
    starts_or_ends || difference > u64::from(HYSTERESIS) * u64::from(old.max(MIN_REFERENCE))
}

/// Whether a server gets new flows.
pub(super) fn gets_new_flows(document: &Document, service: &str, server: &str) -> bool {
    let mut services = document.services.iter();
    let service = services.find(|listed| *listed.name == *service);
    let servers = service.into_iter().flat_map(|service| &service.servers);
    let mut up = servers.filter(|listed| listed.state == State::Up);
    up.any(|listed| *listed.name == *server)
}

/// Whether any server that gets new flows in both documents has another weight in the new one.
pub(super) fn changes_weights(old: &Document, new: &Document) -> bool {
    let mut services = new.services.iter();
    services.any(|service| {
        let before = old.service(&service.address);
        service.servers.iter().any(|server| {
            let before = before.and_then(|before| before.server(server.number));
            before.is_some_and(|before| {
                (before.state, server.state) == (State::Up, State::Up)
                    && before.weight != server.weight
            })
        })
    })
}
