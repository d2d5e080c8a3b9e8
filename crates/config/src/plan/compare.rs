//! Finds the changes between two configurations and their effects on services.

use std::{collections::BTreeMap, sync::Arc};

use super::{Change, Effect, Transition};
use crate::{Config, Customer, Server, Service, State};

pub(super) fn changes(before: &Config, after: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    let name = |service: &Service| Arc::clone(&service.name);
    for pair in pairs(before.services(), after.services(), name) {
        match pair {
            Pair::Removed(old) => changes.push(Change::ServiceRemoved(name(old))),
            Pair::Added(new) => changes.push(Change::ServiceAdded(name(new))),
            Pair::Both(old, new) => service(old, new, &mut changes),
        }
    }
    let name = |server: &Server| Arc::clone(&server.name);
    for pair in pairs(before.servers(), after.servers(), name) {
        match pair {
            Pair::Removed(old) => changes.push(Change::ServerRemoved(name(old))),
            Pair::Added(new) => changes.push(Change::ServerAdded(name(new))),
            Pair::Both(old, new) => server(old, new, &mut changes),
        }
    }
    let name = |customer: &Customer| Arc::clone(&customer.name);
    for pair in pairs(before.customers(), after.customers(), name) {
        match pair {
            Pair::Removed(old) => changes.push(Change::CustomerRemoved(name(old))),
            Pair::Added(new) => changes.push(Change::CustomerAdded(name(new))),
            Pair::Both(old, new) if old != new => changes.push(Change::CustomerChanged(name(new))),
            Pair::Both(..) => {}
        }
    }
    changes
}

/// A service, server or customer that is in one configuration or in both.
enum Pair<'a, T> {
    Removed(&'a T),
    Added(&'a T),
    Both(&'a T, &'a T),
}

/// Pairs the items of the same name, sorted by name.
fn pairs<'a, T>(
    before: &'a [T],
    after: &'a [T],
    name: impl Fn(&T) -> Arc<str>,
) -> Vec<Pair<'a, T>> {
    let mut all: BTreeMap<Arc<str>, (Option<&T>, Option<&T>)> = BTreeMap::new();
    for item in before {
        all.entry(name(item)).or_default().0 = Some(item);
    }
    for item in after {
        all.entry(name(item)).or_default().1 = Some(item);
    }
    let pair = |item| match item {
        (Some(old), Some(new)) => Some(Pair::Both(old, new)),
        (Some(old), None) => Some(Pair::Removed(old)),
        (None, Some(new)) => Some(Pair::Added(new)),
        (None, None) => None,
    };
    all.into_values().filter_map(pair).collect()
}

fn service(old: &Service, new: &Service, changes: &mut Vec<Change>) {
    let name = || Arc::clone(&new.name);
    if !old.has_same_endpoint(new) {
        changes.push(Change::ServiceMoved(name()));
    }
    if old.share != new.share {
        let transition = transition(old.share, new.share);
        changes.push(Change::ShareChanged(name(), transition));
    }
    if old.callers != new.callers {
        let transition = transition(old.callers, new.callers);
        changes.push(Change::CallersChanged(name(), transition));
    }
    if (old.limit, old.objective) != (new.limit, new.objective) {
        changes.push(Change::ServiceTuned(name()));
    }
}

fn server(old: &Server, new: &Server, changes: &mut Vec<Change>) {
    let name = || Arc::clone(&new.name);
    if (old.address, &old.service) != (new.address, &new.service) {
        changes.push(Change::ServerReplaced(name()));
    }
    if old.state != new.state {
        let transition = transition(old.state, new.state);
        changes.push(Change::ServerState(name(), transition));
    }
    if (old.limit, &old.data_centre) != (new.limit, &new.data_centre) {
        changes.push(Change::ServerTuned(name()));
    }
}

fn transition<T>(from: T, to: T) -> Transition<T> {
    Transition { from, to }
}

pub(super) fn effects(before: &Config, after: &Config) -> Vec<Effect> {
    let name = |service: &Service| Arc::clone(&service.name);
    let services = pairs(before.services(), after.services(), name);
    let effects = services.into_iter().map(|pair| {
        let service = match pair {
            Pair::Removed(service) | Pair::Added(service) | Pair::Both(_, service) => service,
        };
        let (from, to) = (totals(before, &service.name), totals(after, &service.name));
        Effect {
            service: name(service),
            share: transition(from.share, to.share),
            active: transition(from.active, to.active),
            draining: transition(from.draining, to.draining),
            slots: transition(from.slots, to.slots),
        }
    });
    let changes = |e: &Effect| {
        e.share.from != e.share.to
            || e.active.from != e.active.to
            || e.draining.from != e.draining.to
            || e.slots.from != e.slots.to
    };
    effects.filter(changes).collect()
}

#[derive(Default)]
struct Totals {
    share: u8,
    active: usize,
    draining: usize,
    slots: u64,
}

fn totals(config: &Config, name: &str) -> Totals {
    let mut totals = Totals::default();
    let Some(service) = config.service(name) else {
        return totals;
    };
    totals.share = service.share;
    for server in config.servers_of(name) {
        match server.state {
            State::Active => {
                totals.active += 1;
                totals.slots += u64::from(server.limit_in(service).slots);
            }
            State::Drain { .. } => totals.draining += 1,
        }
    }
    totals
}
