//! Watches whose answers are too long to be read.

use std::{collections::BTreeSet, time::Duration};

use acacia_catalog::Change;
use acacia_node::cookie::core::Core;
use rstest::rstest;

use super::{
    fixture::{Fleet, config, ms, removed, server},
    store::{Deployment, Store},
};

const SERVERS: u64 = 60;
/// Time within which a change is in force.
const BOUND: Duration = Duration::from_secs(3);
/// Number of configurations in quick succession, and the pause between two.
const STORM: u64 = 25;
const GAP: Duration = Duration::from_millis(60);
/// Number of changes from which an answer is too long, less than the storm has.
const TOO_LONG: usize = 10;

/// Balancers that know all of the store's entries, one of which watches the store.
fn deployment(balancers: u8) -> Deployment {
    let mut fleet = Fleet::new(balancers, &["a", "b", "c"]);
    fleet.set_in_force(BOUND);
    let entries = (1..=SERVERS).map(|number| server(&format!("i-{number:05}"), number));
    let mut entries: Vec<Change> = entries.collect();
    entries.push(config(SERVERS + 1, 3));
    let first = fleet.first();
    fleet.apply_from_store(first, entries.clone(), SERVERS + 1);
    let mut store = Store::new(entries, SERVERS + 1, 500, ms(8));
    store.set_too_long(TOO_LONG);
    let mut deployment = Deployment::new(fleet, store);
    deployment.run(Duration::from_secs(4));
    deployment
}

/// The balancer that watches the store.
fn reader(deployment: &Deployment) -> std::net::SocketAddrV4 {
    let now = deployment.fleet.now;
    let mut cores = deployment.fleet.cores.iter();
    let reader = cores.find(|(_, core)| core.summary(now).reads);
    *reader.expect("a reader").0
}

/// Writes configurations in quick succession, the removal of a server among them. The balancer that watches the
/// store is lost meanwhile. Returns the last version.
fn storm(deployment: &mut Deployment) -> u64 {
    let mut version = 0;
    for number in 0..STORM {
        version = deployment.store.write(|revision| config(revision, 3));
        if number == 3 {
            let reader = reader(deployment);
            deployment.fleet.unreachable.push(reader);
        }
        if number == STORM / 2 {
            deployment
                .store
                .write(|revision| removed("i-00007", revision));
        }
        deployment.run(GAP);
    }
    version
}

fn reached(deployment: &Deployment) -> impl Iterator<Item = &Core> {
    let fleet = &deployment.fleet;
    let reached = fleet.cores.iter();
    let reached = reached.filter(|(address, _)| !fleet.unreachable.contains(address));
    reached.map(|(_, core)| core)
}

/// Whether a balancer knows of the servers and of the configuration what the store says.
fn is_up_to_date(deployment: &Deployment, core: &Core, version: u64) -> bool {
    let changes = core.difference(0, deployment.fleet.now).changes;
    let is_present = |change: &&Change| {
        matches!(
            change,
            Change::Server {
                server: Some(_),
                ..
            }
        )
    };
    let servers = changes.iter().filter(is_present).count() as u64;
    core.version() == Some(version) && servers == SERVERS - 1
}

/// Guards against balancers that ask again and again for changes which they can't read, and act on an old
/// configuration until the store has dropped them.
#[rstest]
#[case::small(9)]
#[case::large(61)]
fn a_storm_during_which_the_reader_is_lost_is_in_force_in_time(#[case] balancers: u8) {
    let mut deployment = deployment(balancers);

    let version = storm(&mut deployment);
    let took = deployment.run_until(Duration::from_secs(20), |deployment| {
        reached(deployment).all(|core| is_up_to_date(deployment, core, version))
    });

    assert!(took < BOUND, "{took:?}");
    let overlong = &deployment.overlong;
    let distinct: BTreeSet<_> = overlong.iter().collect();
    assert!(!overlong.is_empty(), "the case has to occur");
    assert_eq!(distinct.len(), overlong.len(), "asked twice: {overlong:?}");
}

/// Guards against changes that are lost between the two calls with which a balancer catches up.
#[test]
fn what_changes_while_a_balancer_catches_up_is_known_afterwards() {
    let mut deployment = deployment(1);
    let until = deployment.fleet.now + ms(1_100);
    deployment.store.set_deaf(until);
    for _ in 0..STORM {
        deployment.store.write(|revision| config(revision, 3));
    }
    let overlong = |deployment: &Deployment| !deployment.overlong.is_empty();
    deployment.run_until(Duration::from_secs(4), overlong);

    deployment
        .store
        .write(|revision| removed("i-00007", revision));
    let version = deployment.store.write(|revision| config(revision, 4));
    deployment.run(Duration::from_secs(1));

    assert!(reached(&deployment).all(|core| is_up_to_date(&deployment, core, version)));
}
