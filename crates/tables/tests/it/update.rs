use std::slice;

use acacia_config::Service;
use acacia_flow::{pin::IDLE, snapshot::Address};
use acacia_tables::{
    BUCKETS, Lookup, MAX_RETIRED, NO_SERVER, Retired, tables, unserved, withdrawn_servers,
};

use crate::fixture::{
    Chain,
    Change::{Activate, Drain, Place, Remove, Toggle},
    count, front, host,
};

/// A server is drained while feeds are open on it. If the base of its buckets moved, a balancer
/// that never saw those feeds would send their packets to another server, which resets them. When
/// the drain is taken back, new flows that kept away from its buckets would cost a pin each; and
/// flows of a server that was removed by mistake must live on when it is put back at once.
#[test]
fn a_drain_moves_new_flows_and_no_base() {
    let mut chain = Chain::new(4);
    let before = chain.document.services[0].clone();

    chain.apply(&[Drain(2, Some(100))]);
    let service = &chain.document.services[0];
    assert_eq!(
        (&service.base, count(&service.next, chain.number(2))),
        (&before.base, 0)
    );
    let pairs = before.next.iter().zip(service.next.iter());
    assert_eq!(pairs.filter(|(old, new)| old != new).count(), BUCKETS / 4);

    chain.apply(&[Activate(2)]);
    assert_eq!(chain.document.services, slice::from_ref(&before));
    chain.apply(&[Remove(4)]);
    chain.apply(&[Place(4, 1)]);
    assert_eq!(chain.document.services, [before]);
}

/// Every server of a service is drained, for instance before it is moved. With nowhere to go, a
/// table dealt out anew would cut the flows that are still open; and once the service is empty,
/// its first new server must get every bucket.
#[test]
fn with_all_servers_draining_the_tables_stay_until_they_are_gone() {
    let mut chain = Chain::new(2);
    let before = chain.document.services[0].clone();
    chain.apply(&[Drain(1, Some(50)), Drain(2, Some(60))]);
    chain.spread();
    let service = &chain.document.services[0];
    assert_eq!((&service.base, &service.next), (&before.base, &before.next));

    chain.now = 50;
    chain.step();
    let base = &chain.document.services[0].base;
    assert_eq!(count(base, Some(NO_SERVER)), BUCKETS / 2);
    assert_eq!(count(base, chain.number(2)), BUCKETS / 2);

    chain.now = 60;
    chain.apply(&[Place(3, 1)]);
    assert_eq!(
        count(&chain.document.services[0].base, chain.number(3)),
        BUCKETS
    );
}

/// Every server of one service is given to another. One that stayed listed for want of a server
/// to take its buckets would work for neither.
#[test]
fn a_service_can_lose_its_last_server_to_another() {
    let mut chain = Chain::new(1);
    chain.apply(&[Toggle(2)]);
    chain.apply(&[Place(1, 2)]);
    for _ in 0..3 {
        chain.spread();
        chain.step();
    }
    let other = chain
        .document
        .service(&front(2))
        .expect("the other service");
    assert_eq!(count(&other.base, chain.number(1)), BUCKETS);
}

/// A server is given to another service. While some balancer may still send it the first one's
/// packets it must not work for the second: a check-in would reach the map service.
#[test]
fn a_server_changes_services_only_once_the_first_has_let_go() {
    let mut chain = Chain::new(2);
    chain.apply(&[Toggle(2), Place(9, 2)]);
    chain.spread();
    let in_second = |chain: &Chain| {
        let second = chain
            .document
            .service(&front(2))
            .expect("the second service");
        second
            .servers
            .iter()
            .any(|server| server.address == host(2))
    };
    chain.apply(&[Place(2, 2)]);
    chain.spread();
    chain.step();
    assert_eq!(chain.number(2), None, "the first has let go of it");
    chain.apply(&[Place(8, 2)]);
    assert!(!in_second(&chain), "some balancers have the tables before");
    chain.spread();
    assert!(chain.step() && in_second(&chain));
}

/// A balancer lags behind with an older configuration than the tables'. What it wrote from it
/// would take back a change that an operator was told is accepted.
#[test]
fn an_older_configuration_changes_nothing() {
    let mut chain = Chain::new(2);
    let mut other = Chain::new(2);
    other.apply(&[Drain(1, None)]);
    chain.document = other.document;
    assert!(!chain.step());
}

/// A drain is accepted and the store fails before anybody could write the tables for it. New work
/// must keep away from the server all the same.
#[test]
fn servers_that_a_later_configuration_drains_are_known() {
    let mut chain = Chain::new(4);
    for change in [Drain(2, None), Remove(3), Place(4, 2)] {
        chain.operator.change(change);
    }
    let closing = withdrawn_servers(&chain.document, &chain.operator.config());
    let wanted = [2, 3, 4].map(|at| (front(1), chain.number(at).expect("a number")));
    assert_eq!(closing, wanted);
}

/// A service is removed and another created on its address. Pins and packets of the first that
/// are still under way must not reach the servers of the second.
#[test]
fn a_service_created_again_is_strict_and_shares_no_number() {
    let mut chain = Chain::new(3);
    let first = chain.document.services[0].clone();
    chain.apply(&[Toggle(1)]);
    assert!(chain.document.services.is_empty());
    chain.now = 1_000;
    chain.apply(&[Toggle(1)]);

    let again = chain.document.services[0].clone();
    assert_eq!(
        (again.since, &again.base),
        (chain.document.version, &again.next)
    );
    assert!(tables(&chain.document).services[0].strict);
    let lookup = Lookup::new(&chain.document);
    assert_eq!(
        lookup.server(&front(1), again.servers[0].number),
        Some(host(1))
    );
    assert_eq!(lookup.server(&front(1), first.servers[0].number), None);

    chain.now += IDLE / 1_000 - 1;
    assert!(!chain.step());
    chain.now += 1;
    assert!(chain.step());
    assert!(!tables(&chain.document).services[0].strict);
}

/// An address has had 65,535 servers. One more must not get the number of an earlier one, to
/// which pins may lead; and other services must not wait for this one to be mended.
#[test]
fn servers_without_a_number_are_left_out_and_named() {
    let mut chain = Chain::new(2);
    chain.document.services[0].next_number = 65_535;
    chain.apply(&[Place(3, 1), Place(4, 1), Toggle(2), Place(9, 2)]);
    assert_eq!(
        [3, 4, 9].map(|at| chain.number(at)),
        [Some(65_535), None, Some(1)]
    );

    let mut config = chain.operator.config();
    config.add_service(Service::new("six", std::net::Ipv6Addr::LOCALHOST, 443, 1));
    let left = unserved(&chain.document, &config);
    let left = left
        .iter()
        .map(|u| (&*u.service, u.server.as_deref(), u.code.number()));
    let wanted = [("s1", Some("server-4"), 48), ("six", None, 49)];
    assert_eq!(left.collect::<Vec<_>>(), wanted);
}

/// Services come and go at thousands of addresses. The list of these must not outgrow the store,
/// and forgetting some of them must not make a pin of old lead to a new server.
#[test]
fn addresses_beyond_the_bound_still_share_no_number() {
    let mut chain = Chain::new(2);
    let retired = (0..=MAX_RETIRED as u16).map(|port| Retired {
        address: Address { port, ..front(9) },
        next_number: 10 + u32::from(port),
        at: 1_000,
    });
    chain.document.retired = retired.rev().collect();
    chain.now = 2_000;
    chain.apply(&[Toggle(2), Place(9, 2)]);
    assert_eq!(chain.document.retired.len(), MAX_RETIRED);

    chain.apply(&[Toggle(3), Place(8, 3)]);
    assert_eq!([9, 8].map(|at| chain.number(at)), [Some(1), Some(10)]);
    let services = tables(&chain.document).services;
    assert_eq!(
        services.iter().map(|s| s.strict).collect::<Vec<_>>(),
        [false, false, true]
    );
}
