//! All servers of a data centre refuse connections at the same time.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use acacia_catalog::Change;
use acacia_cookie::silence::Finding;
use rstest::rstest;

use super::fixture::{Fleet, ms, server};

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const SERVERS: u64 = 150;
/// Duration of an examination that is decided by refused connections.
const EXAMINATION_MS: u64 = 35;

fn name(number: u64) -> Arc<str> {
    format!("i-{number}").into()
}

fn address(number: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a80_0000 + number as u32), 8080)
}

/// Whether the server is in data centre `a`, whose servers refuse.
fn refuses(number: u64) -> bool {
    number.is_multiple_of(3)
}

/// Creates 67 balancers that know 50 servers in each of three data centres.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(67, &DATA_CENTRES);
    let now = fleet.now;
    let known = (1..=SERVERS).map(|number| {
        let mut change = server(&name(number), number);
        if let Change::Server {
            server: Some(server),
            ..
        } = &mut change
        {
            let server = Arc::make_mut(server);
            server.data_centre = DATA_CENTRES[(number % 3) as usize].into();
            server.address = address(number);
        }
        change
    });
    let known: Vec<Change> = known.collect();
    for core in fleet.cores.values_mut() {
        core.apply_full_read(known.clone(), SERVERS, now, now);
        core.snapshot(now);
    }
    fleet
}

/// Runs one examination on every balancer and returns the number of examined servers. Without a control
/// that answers, an examination can't find a server silent.
fn examine(fleet: &mut Fleet) -> usize {
    let now = fleet.now;
    let end = now + ms(EXAMINATION_MS);
    let mut outgoing = Vec::new();
    let mut examined = 0;
    for core in fleet.cores.values_mut() {
        let (examination, _) = core.examination(now);
        examined += examination.targets.len();
        let answers = |address: SocketAddrV4| {
            let number = u64::from(address.ip().to_bits() - 0x0a80_0000);
            !refuses(number)
        };
        let is_controlled = examination.control.is_some_and(answers);
        let findings = examination.targets.iter().map(|target| {
            let finding = match (answers(target.address), is_controlled) {
                (true, _) => Finding::Answered,
                (false, true) => Finding::Silent,
                (false, false) => Finding::Unknown,
            };
            (Arc::clone(&target.server), finding)
        });
        outgoing.extend(core.record_findings(findings.collect(), end).outgoing);
    }
    fleet.now = end;
    fleet.deliver(outgoing);
    examined
}

/// Returns how many servers each balancer considers silent, for the balancers of one data centre or all.
fn silent(fleet: &Fleet, centre: Option<&str>) -> Vec<usize> {
    let now = fleet.now;
    let cores = fleet.cores.values();
    let cores = cores.filter(|core| centre.is_none_or(|centre| &*core.own().data_centre == centre));
    cores.map(|core| core.summary(now).silent).collect()
}

/// Guards against examinations whose control is itself down. If the balancers of a data centre took their
/// controls only from that data centre, all of whose servers refuse connections, no server would be found
/// silent, and callers would be refused although two other data centres have free servers.
#[rstest]
#[case::noticed_there("a")]
#[case::noticed_elsewhere("b")]
fn all_refusing_servers_of_a_data_centre_are_found_silent_after_one_unanswered_packet(
    #[case] centre: &str,
) {
    let mut fleet = fleet();
    let now = fleet.now;
    let mut near = fleet.cores.values_mut();
    let near = near.find(|core| &*core.own().data_centre == centre);
    near.expect("a balancer").record_unanswered(&name(3), now);

    let mut examined = 0;
    for _ in 0..4 {
        examined += examine(&mut fleet);
    }
    let near = silent(&fleet, Some(centre));
    assert_eq!(near, vec![50; near.len()]);

    fleet.rounds(3);
    for _ in 0..4 {
        examined += examine(&mut fleet);
    }
    assert_eq!(silent(&fleet, None), vec![50; 67]);
    assert!(examined <= 3 * 3 * 50 * 2, "{examined}");
}
