//! Servers whose names lead to the same cookie.

use acacia_catalog::Change;
use acacia_cookie::cookie::Cookie;

use super::fixture::{Fleet, config, removed, server};

/// Two server names with the same first cookie, found by search.
fn names_with_same_cookie() -> (String, String) {
    let mut seen = std::collections::HashMap::new();
    for number in 0.. {
        let id = format!("i-{number:x}");
        if let Some(other) = seen.insert(Cookie::of(&id, 0), id.clone()) {
            return (other, id);
        }
    }
    unreachable!("the search ends with a pair")
}

/// Applies a change of the store at all balancers.
fn apply(fleet: &mut Fleet, change: Change) {
    let (first, revision) = (fleet.first(), change.revision());
    fleet.apply_from_store(first, vec![change], revision);
    let now = fleet.now;
    for core in fleet.cores.values_mut() {
        core.snapshot(now);
    }
}

/// Guards against a balancer that starts after the entry of a living server has lapsed and was created anew,
/// and sends its open flows to a younger server with the same cookie.
#[test]
fn a_balancer_learns_from_its_peers_which_of_two_servers_is_older() {
    let (one, other) = names_with_same_cookie();
    let (config, younger, back) = (config(1, 3), server(&other, 3), server(&one, 5));
    let mut fleet = Fleet::new(3, &["a"]);
    apply(&mut fleet, config.clone());
    apply(&mut fleet, server(&one, 2));
    apply(&mut fleet, younger.clone());
    apply(&mut fleet, removed(&one, 4));
    apply(&mut fleet, back.clone());

    let new = fleet.join(20, "a");
    fleet.apply_from_store(new, vec![config, younger, back], 5);
    fleet.rounds(2);

    let now = fleet.now;
    let core = fleet.cores.get_mut(&new).expect("a balancer");
    let (snapshot, _) = core.snapshot(now);
    let holder = snapshot.server(Cookie::of(&one, 0)).expect("a server");
    assert_eq!(&*holder.id, one.as_str());
}
