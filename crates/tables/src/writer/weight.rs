//! How weights differ.

use crate::{
    document::{Document, State},
    update::NOMINAL_WEIGHT,
};

/// Difference to the weight in force, in percent, below which a new one is noise.
pub const HYSTERESIS: u32 = 10;

/// Whether a measured weight differs from the one in force by more than noise.
pub(super) fn is_other(old: u32, new: u32) -> bool {
    /// Below this a percentage means nothing.
    const LEAST: u32 = NOMINAL_WEIGHT / 10;
    let difference = u64::from(old.abs_diff(new)) * 100;
    let is_ended = (old == 0) != (new == 0);
    is_ended || difference > u64::from(HYSTERESIS) * u64::from(old.max(LEAST))
}

/// Whether a server takes new flows.
pub(super) fn is_up(document: &Document, service: &str, server: &str) -> bool {
    let mut services = document.services.iter();
    let service = services.find(|listed| *listed.name == *service);
    let servers = service.into_iter().flat_map(|service| &service.servers);
    let mut up = servers.filter(|listed| listed.state == State::Up);
    up.any(|listed| *listed.name == *server)
}

/// Whether a server that takes flows in both has another weight.
pub(super) fn is_weighed_anew(old: &Document, new: &Document) -> bool {
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
