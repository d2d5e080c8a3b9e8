use acacia_config::{Config, Service};
use acacia_flow::{pin::IDLE, snapshot::Address};
use acacia_tables::{BUCKETS, Lookup, MAX_RETIRED, NOBODY, Retired, tables, unserved};

use crate::fixture::{Chain, add_server, add_service, count, draining, front, host, live, without};

/// A server is drained while feeds are open on it. If the base of its buckets moved, a balancer
/// that never saw those feeds would send their packets to another server, which resets them.
#[test]
fn a_drain_moves_new_flows_and_no_base() {
    let mut chain = Chain::new(&live(4));
    let before = chain.tables().services[0].clone();

    chain.apply(&draining(&live(4), 2, None));
    chain.spread();

    let service = &chain.tables().services[0];
    assert_eq!(service.base, before.base);
    assert_eq!(count(&service.next, chain.number(2)), 0);
    let pairs = before.next.iter().zip(service.next.iter());
    assert_eq!(pairs.filter(|(old, new)| old != new).count(), BUCKETS / 4);
    assert!(!chain.step(), "nothing is left to do");
}

/// A drain is taken back. New flows that kept away from the buckets of which the server is the
/// base would cost a pin each for as long as the tables stay.
#[test]
fn a_server_that_comes_back_gets_its_own_buckets() {
    let mut chain = Chain::new(&live(4));
    chain.apply(&draining(&live(4), 2, Some(100)));
    chain.apply(&live(4));
    let service = &chain.tables().services[0];
    assert_eq!(service.next, service.base);
}

/// An operator removes the wrong server and puts it back at once. Its flows must live on.
#[test]
fn a_server_put_back_in_time_is_the_same_server() {
    let mut chain = Chain::new(&live(4));
    let before = chain.tables().services.clone();
    chain.apply(&live(3));
    chain.apply(&live(4));
    assert_eq!(chain.tables().services, before);
}

/// Every server of a service is drained, for instance before it is moved. With nowhere to go, a
/// table dealt out anew would cut the flows that are still open; and once the service is empty,
/// its first new server must get every bucket.
#[test]
fn with_all_servers_draining_the_tables_stay_until_they_are_gone() {
    let mut chain = Chain::new(&live(2));
    let before = chain.tables().services[0].clone();
    chain.apply(&draining(&draining(&live(2), 1, Some(50)), 2, Some(60)));
    chain.spread();
    let service = &chain.tables().services[0];
    assert_eq!((&service.base, &service.next), (&before.base, &before.next));

    chain.now = 50;
    chain.step();
    let service = &chain.tables().services[0];
    assert_eq!(count(&service.base, Some(NOBODY)), BUCKETS / 2);
    assert_eq!(count(&service.base, chain.number(2)), BUCKETS / 2);

    chain.now = 60;
    chain.step();
    assert!(chain.tables().services[0].servers.is_empty());
    chain.apply(&live(3));
    let service = &chain.tables().services[0];
    assert_eq!(count(&service.base, chain.number(3)), BUCKETS);
}

/// A backend server is taken from one service and given to another. Until every balancer has
/// stopped sending it the first service's packets, it must not work for the second: a check-in
/// would reach the map service.
#[test]
fn a_server_changes_services_only_once_the_first_has_let_go() {
    let mut config = live(2);
    add_service(&mut config, "maps", 2);
    add_server(&mut config, "maps", 9);
    let mut chain = Chain::new(&config);
    let mut moved = without(&config, 2);
    add_server(&mut moved, "maps", 2);

    chain.apply(&moved);
    let in_maps = |chain: &Chain| {
        let maps = chain.tables().service(&front(2)).expect("maps");
        maps.servers.iter().any(|server| server.address == host(2))
    };
    assert!(!in_maps(&chain), "still the base of live's buckets");
    chain.spread();
    assert!(chain.step());
    assert!(!in_maps(&chain), "some balancers have the tables before");
    assert!(!chain.step());
    chain.spread();
    assert!(chain.step());
    assert!(in_maps(&chain));
}

/// Every server of one service is given to another. One that stayed listed for want of a server
/// to take its buckets would work for neither.
#[test]
fn a_service_can_lose_its_last_server_to_another() {
    let mut config = live(1);
    add_service(&mut config, "maps", 2);
    let mut chain = Chain::new(&config);
    let mut moved = without(&config, 1);
    add_server(&mut moved, "maps", 1);
    chain.apply(&moved);
    for _ in 0..3 {
        chain.spread();
        chain.step();
    }
    let maps = chain.tables().service(&front(2)).expect("maps");
    assert_eq!(count(&maps.base, chain.number(1)), BUCKETS);
}

/// A service is removed and another created on its address. Pins and packets of the first that
/// are still under way must not reach the servers of the second.
#[test]
fn a_service_created_again_is_strict_and_shares_no_number() {
    let mut chain = Chain::new(&live(3));
    let first = chain.tables().services[0].clone();
    chain.apply(&Config::default());
    assert!(chain.tables().services.is_empty());
    chain.now = 1_000;
    chain.apply(&live(3));

    let again = chain.tables().services[0].clone();
    assert_eq!(again.since, chain.tables().version);
    assert!(tables(chain.tables()).services[0].strict);
    assert!(
        again
            .servers
            .iter()
            .all(|server| first.server(server.number).is_none())
    );
    assert_eq!(again.base, again.next);
    let lookup = Lookup::new(chain.tables());
    assert_eq!(
        lookup.server(&front(1), again.servers[0].number),
        Some(host(1))
    );
    assert_eq!(lookup.server(&front(1), first.servers[0].number), None);

    chain.now += IDLE / 1_000 - 1;
    assert!(!chain.step());
    chain.now += 1;
    assert!(chain.step());
    assert!(!tables(chain.tables()).services[0].strict);
}

/// A balancer that lags behind has an older configuration than the tables. What it wrote from it
/// would take back a change that an operator was told is accepted.
#[test]
fn an_older_configuration_changes_nothing() {
    let mut chain = Chain::new(&live(2));
    let older = chain.operator.accepted.clone();
    chain.apply(&live(3));
    chain.operator.accepted = older;
    assert!(!chain.step());
}

/// An address has had 65,535 servers. One more must not get the number of an earlier one, to
/// which pins may lead; and other services must not wait for this one to be mended.
#[test]
fn servers_without_a_number_are_left_out_and_named() {
    let mut chain = Chain::new(&live(2));
    chain.document.as_mut().expect("tables").services[0].next_number = 65_535;
    let mut config = live(4);
    add_service(&mut config, "maps", 2);
    add_server(&mut config, "maps", 9);
    config.add_service(Service::new("six", std::net::Ipv6Addr::LOCALHOST, 443, 1));
    chain.apply(&config);

    assert_eq!(chain.number(3), Some(65_535));
    assert_eq!(chain.number(4), None);
    assert_eq!(chain.number(9), Some(1));
    let left = unserved(chain.tables(), &config);
    let left = left
        .iter()
        .map(|u| (&*u.service, u.server.as_deref(), u.code.number()));
    assert_eq!(
        left.collect::<Vec<_>>(),
        [("live", Some("server-4"), 48), ("six", None, 49)]
    );
}

/// Services come and go at thousands of addresses. The list of these must not outgrow the store,
/// and forgetting some of them must not make a pin of old lead to a new server.
#[test]
fn addresses_beyond_the_bound_still_share_no_number() {
    let mut chain = Chain::new(&live(2));
    let retired = (0..=MAX_RETIRED as u16).map(|port| Retired {
        address: Address { port, ..front(9) },
        next_number: 10 + u32::from(port),
        at: 1_000,
    });
    let document = chain.document.as_mut().expect("tables");
    document.retired = retired.rev().collect();
    chain.now = 2_000;
    let mut config = live(2);
    add_service(&mut config, "maps", 2);
    add_server(&mut config, "maps", 9);
    chain.apply(&config);
    let document = chain.tables();
    assert_eq!(
        (document.retired.len(), document.fold.next_number),
        (MAX_RETIRED, 10)
    );

    config.add_service(Service::new("more", [10, 77, 0, 3], 443, 1));
    add_server(&mut config, "more", 8);
    chain.apply(&config);
    assert_eq!((chain.number(9), chain.number(8)), (Some(1), Some(10)));
    let strict = tables(chain.tables())
        .services
        .iter()
        .map(|s| s.strict)
        .collect::<Vec<_>>();
    assert_eq!(strict, [false, false, true]);
}
