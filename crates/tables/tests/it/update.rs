use std::slice;

use acacia_config::Service;
use acacia_flow::{pin::IDLE_TIMEOUT, snapshot::Address};
use acacia_tables::{
    BUCKETS, Lookup, MAX_RETIRED, NO_SERVER, Retired, tables, unserved, withdrawn_servers,
};

use crate::fixture::{
    Chain,
    Change::{Activate, Drain, Place, Remove, Toggle},
    count, server_address, service_address,
};

/// A drain must not move the base of the server's buckets: a balancer without state of the open
/// flows would send their packets to another server, which resets them. A cancelled drain must
/// restore the table for new flows, as flows placed off their base need a pin each. Flows of a
/// server that is removed and added again at once must survive, too.
#[test]
fn a_drain_moves_new_flows_but_not_the_base() {
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

/// All servers of a service are drained, for instance before it is moved. Rebuilding its tables
/// without any active server would break the flows that are still open. Once the service has no
/// servers, the first one added must get every bucket.
#[test]
fn tables_stay_unchanged_while_all_servers_drain() {
    let mut chain = Chain::new(2);
    let before = chain.document.services[0].clone();
    chain.apply(&[Drain(1, Some(50)), Drain(2, Some(60))]);
    chain.deliver();
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

/// The only server of a service is assigned to another one. If it stayed listed because no other
/// server can take its buckets, it would work for neither service.
#[test]
fn the_last_server_of_a_service_can_be_reassigned() {
    let mut chain = Chain::new(1);
    chain.apply(&[Toggle(2)]);
    chain.apply(&[Place(1, 2)]);
    for _ in 0..3 {
        chain.deliver();
        chain.step();
    }
    let other = chain
        .document
        .service(&service_address(2))
        .expect("the other service");
    assert_eq!(count(&other.base, chain.number(1)), BUCKETS);
}

/// A server is assigned to another service. While some balancer may still send it packets of the
/// first service, it must not work for the second one, which would receive these packets.
#[test]
fn a_server_is_reassigned_only_after_all_balancers_released_it() {
    let mut chain = Chain::new(2);
    chain.apply(&[Toggle(2), Place(9, 2)]);
    chain.deliver();
    let in_second = |chain: &Chain| {
        let second = chain
            .document
            .service(&service_address(2))
            .expect("the second service");
        second
            .servers
            .iter()
            .any(|server| server.address == server_address(2))
    };
    chain.apply(&[Place(2, 2)]);
    chain.deliver();
    chain.step();
    assert_eq!(chain.number(2), None, "the first service has released it");
    chain.apply(&[Place(8, 2)]);
    assert!(!in_second(&chain), "some balancers still have older tables");
    chain.deliver();
    assert!(chain.step() && in_second(&chain));
}

/// A balancer has an older configuration than the one that the tables were built from. Tables that
/// it built from it would revert a change that was confirmed to an operator.
#[test]
fn an_older_configuration_changes_nothing() {
    let mut chain = Chain::new(2);
    let mut other = Chain::new(2);
    other.apply(&[Drain(1, None)]);
    chain.document = other.document;
    assert!(!chain.step());
}

/// The store fails after a drain was accepted and before any balancer wrote the tables for it. The
/// drained server must not get new flows even so.
#[test]
fn servers_that_a_later_configuration_withdraws_are_listed() {
    let mut chain = Chain::new(4);
    for change in [Drain(2, None), Remove(3), Place(4, 2)] {
        chain.operator.change(change);
    }
    let withdrawn = withdrawn_servers(&chain.document, &chain.operator.config());
    let wanted = [2, 3, 4].map(|at| (service_address(1), chain.number(at).expect("a number")));
    assert_eq!(withdrawn, wanted);
}

/// A service is removed and another one is created at its address. Existing pins and packets in
/// flight of the first must not reach the servers of the second.
#[test]
fn a_recreated_service_is_strict_and_reuses_no_number() {
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
        lookup.server(&service_address(1), again.servers[0].number),
        Some(server_address(1))
    );
    assert_eq!(
        lookup.server(&service_address(1), first.servers[0].number),
        None
    );

    chain.now += IDLE_TIMEOUT / 1_000 - 1;
    assert!(!chain.step());
    chain.now += 1;
    assert!(chain.step());
    assert!(!tables(&chain.document).services[0].strict);
}

/// All 65,535 server numbers of an address are used. A further server must not get the number of an
/// earlier one, to which pins may refer, and must not block updates of other services.
#[test]
fn servers_without_a_number_are_left_out_and_reported() {
    let mut chain = Chain::new(2);
    chain.document.services[0].next_number = 65_535;
    chain.apply(&[Place(3, 1), Place(4, 1), Toggle(2), Place(9, 2)]);
    assert_eq!(
        [3, 4, 9].map(|at| chain.number(at)),
        [Some(65_535), None, Some(1)]
    );

    let mut config = chain.operator.config();
    config.add_service(Service::new("six", std::net::Ipv6Addr::LOCALHOST, 443, 1));
    let unserved_parts = unserved(&chain.document, &config);
    let unserved_parts = unserved_parts
        .iter()
        .map(|u| (&*u.service, u.server.as_deref(), u.code.number()));
    let wanted = [("s1", Some("server-4"), 48), ("six", None, 49)];
    assert_eq!(unserved_parts.collect::<Vec<_>>(), wanted);
}

/// Services at thousands of addresses are removed. The list of these addresses must stay within the
/// store's size limit, and an old pin must not refer to a new server at an address that was dropped
/// from the list.
#[test]
fn addresses_beyond_the_limit_reuse_no_number() {
    let mut chain = Chain::new(2);
    let retired = (0..=MAX_RETIRED as u16).map(|port| Retired {
        address: Address {
            port,
            ..service_address(9)
        },
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
