//! A partition makes all servers of a data centre unreachable for a large fleet.

use std::sync::Arc;

use acacia_catalog::Change;
use acacia_cookie::{
    silence::Finding,
    snapshot::{Server, Standing},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

use super::fixture::{Fleet, ms, server};

const CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Number of servers behind the partition.
const PARTITIONED: u64 = 58;
const SERVERS: u64 = 290;

/// A fleet of 195 balancers that know all servers; the last [`PARTITIONED`] are in the partitioned
/// data centre.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(195, &CENTRES);
    let now = fleet.now;
    let mut servers: Vec<Change> = (1..=SERVERS)
        .map(|number| server(&name(number), number))
        .collect();
    for (number, change) in (1..).zip(&mut servers) {
        if let Change::Server {
            server: Some(server),
            ..
        } = change
        {
            let server = Arc::make_mut(server);
            let is_partitioned = number > SERVERS - PARTITIONED;
            server.data_centre = if is_partitioned { "z" } else { "a" }.into();
        }
    }
    for core in fleet.cores.values_mut() {
        core.apply_full_read(servers.clone(), SERVERS, now, now);
        core.snapshot(now);
    }
    fleet
}

fn name(number: u64) -> String {
    format!("i-{number}")
}

fn is_partitioned(id: &str) -> bool {
    let number: u64 = id[2..].parse().expect("a number");
    number > SERVERS - PARTITIONED
}

/// Runs the examinations that are due at each balancer until none is left. Returns how many servers
/// were examined, and how many silent ones probed.
fn examine(fleet: &mut Fleet, is_partition_active: bool) -> (usize, usize) {
    let (mut examined, mut probed) = (0, 0);
    loop {
        let now = fleet.now;
        let mut outgoing = Vec::new();
        let mut any = false;
        for core in fleet.cores.values_mut() {
            let (examination, _) = core.examination(now);
            any |= !examination.is_empty();
            examined += examination.targets.len();
            probed += examination.silent.len();
            let targets = examination.targets.iter().map(|target| {
                let silent = is_partition_active && is_partitioned(&target.server);
                let finding = if silent {
                    Finding::Silent
                } else {
                    Finding::Answered
                };
                (Arc::clone(&target.server), finding)
            });
            let back = examination.silent.iter().filter(|_| !is_partition_active);
            let back = back.map(|target| (Arc::clone(&target.server), Finding::Answered));
            let findings = targets.chain(back).collect();
            outgoing.extend(core.record_findings(findings, now + ms(90)).outgoing);
        }
        fleet.now += ms(90);
        fleet.deliver(outgoing);
        if !any {
            return (examined, probed);
        }
    }
}

/// Lets a packet to a partitioned server go unanswered at one balancer of each data centre.
fn notice_in_each_data_centre(fleet: &mut Fleet) {
    let now = fleet.now;
    for centre in 0..CENTRES.len() {
        let core = fleet.cores.values_mut().nth(centre).expect("a balancer");
        core.record_unanswered(&name(SERVERS).into(), now);
    }
}

/// The number of servers that each balancer considers silent.
fn silent(fleet: &Fleet) -> Vec<usize> {
    let now = fleet.now;
    let cores = fleet.cores.values();
    cores.map(|core| core.summary(now).silent).collect()
}

/// If each balancer of a large fleet examined each server behind a partition, and later probed it
/// for its return, these connections would outnumber those of callers.
#[test]
fn few_balancers_examine_on_behalf_of_all() {
    let mut fleet = fleet();
    notice_in_each_data_centre(&mut fleet);

    let (examined, _) = examine(&mut fleet, true);
    assert_eq!(silent(&fleet), vec![PARTITIONED as usize; 195]);
    // Three balancers in each data centre, and the one that noticed.
    assert!(examined <= 5 * (3 * PARTITIONED as usize + 1), "{examined}");

    fleet.now += ms(2_000);
    let (_, probed) = examine(&mut fleet, false);
    assert_eq!(silent(&fleet), vec![0; 195]);
    assert!(probed <= 5 * (3 * PARTITIONED as usize + 1), "{probed}");
}

/// Behind a partition lie hundreds of servers. If each were examined, found silent and reported by itself,
/// that would take seconds and thousands of connections. One verdict must hold for all.
#[test]
fn a_partition_is_found_by_samples() {
    let mut fleet = fleet();
    notice_in_each_data_centre(&mut fleet);

    let (examined, _) = examine(&mut fleet, true);

    // In each data centre three balancers examine 16 servers, and the server whose packets went
    // unanswered is examined by its own three examiners and the one that noticed.
    assert!(examined <= 5 * (3 * 16 + 4), "{examined}");
    let now = fleet.now;
    let lost = fleet
        .cores
        .values()
        .map(|core| core.summary(now).lost_data_centres);
    assert_eq!(lost.collect::<Vec<_>>(), vec![1; 195]);
}

/// Some servers of a data centre crash at the same moment, and the others go on. The sample shows both, and
/// each server must then be examined: otherwise each dead one would first cost a caller an unanswered
/// packet.
#[test]
fn servers_that_crash_together_are_found_after_one_unanswered_packet() {
    let mut fleet = Fleet::new(60, &["a", "b", "c"]);
    let is_dead = |id: &str| id[2..].parse::<u64>().expect("a number").is_multiple_of(5);
    let servers: Vec<Change> = (1..=100)
        .map(|number| server(&name(number), number))
        .collect();
    let now = fleet.now;
    for core in fleet.cores.values_mut() {
        core.apply_full_read(servers.clone(), 100, now, now);
        core.snapshot(now);
    }
    let mut near = fleet.cores.values_mut();
    let near = near.find(|core| &*core.own().data_centre == "a");
    near.expect("a balancer")
        .record_unanswered(&name(5).into(), now);

    for _ in 0..6 {
        let now = fleet.now;
        let mut outgoing = Vec::new();
        for core in fleet.cores.values_mut() {
            let (examination, _) = core.examination(now);
            let findings = examination.targets.iter().map(|target| {
                let finding = if is_dead(&target.server) {
                    Finding::Silent
                } else {
                    Finding::Answered
                };
                (Arc::clone(&target.server), finding)
            });
            outgoing.extend(
                core.record_findings(findings.collect(), now + ms(90))
                    .outgoing,
            );
        }
        fleet.now += ms(90);
        fleet.deliver(outgoing);
    }

    let now = fleet.now;
    let near = fleet
        .cores
        .values()
        .filter(|core| &*core.own().data_centre == "a");
    let silent: Vec<usize> = near.map(|core| core.summary(now).silent).collect();
    assert_eq!(silent, vec![20; silent.len()]);
}

/// A single balancer is cut off and finds all servers silent. If the others adopted its verdict,
/// they would end flows that work.
#[test]
fn a_balancer_that_is_cut_off_convinces_no_other() {
    let mut fleet = fleet();
    let now = fleet.now;
    let core = fleet.cores.values_mut().next().expect("a balancer");
    for number in 1..=60 {
        core.record_unanswered(&name(number).into(), now);
    }
    core.examination(now);
    let findings = (1..=60).map(|number| (name(number).into(), Finding::Silent));

    let outgoing = core.record_findings(findings.collect(), now).outgoing;
    fleet.deliver(outgoing);
    examine(&mut fleet, false);

    let wrong = silent(&fleet).into_iter().filter(|silent| *silent > 0);
    assert!(wrong.count() <= 1);
}

/// Rounds of packets without an answer, an examination each.
const ROUNDS: u64 = 4;
/// Time that an examination takes.
const EXAMINATION: u64 = 90;
/// Packets without an answer in each round and at each balancer.
const UNANSWERED: usize = 4;

/// How many servers precede `servers` others in a small fleet, in a data centre in which none is down.
fn sound(servers: u64) -> u64 {
    servers / 5 + 2
}

/// Nine balancers before `servers` servers in one data centre, and some in another one.
fn small_fleet(servers: u64) -> Fleet {
    let mut fleet = Fleet::new(9, &["a", "b", "c"]);
    let sound = sound(servers);
    let all = sound + servers;
    let entry = |number| {
        let mut entry = server(&name(number), number);
        if let Change::Server {
            server: Some(server),
            ..
        } = &mut entry
        {
            let centre = if number > sound { "z" } else { "a" };
            Arc::make_mut(server).data_centre = centre.into();
        }
        entry
    };
    let entries: Vec<Change> = (1..=all).map(entry).collect();
    let now = fleet.now;
    for core in fleet.cores.values_mut() {
        core.apply_full_read(entries.clone(), all, now, now);
        core.snapshot(now);
    }
    fleet
}

/// Runs one examination at each balancer and delivers what they send.
fn examine_once(fleet: &mut Fleet, is_down: impl Fn(&str) -> bool) {
    let now = fleet.now;
    let mut outgoing = Vec::new();
    for core in fleet.cores.values_mut() {
        let (examination, _) = core.examination(now);
        let probed = examination.targets.iter().chain(&examination.silent);
        let findings = probed.map(|target| {
            let finding = match is_down(&target.server) {
                true => Finding::Silent,
                false => Finding::Answered,
            };
            (Arc::clone(&target.server), finding)
        });
        let findings = findings.collect();
        let end = now + ms(EXAMINATION);
        outgoing.extend(core.record_findings(findings, end).outgoing);
    }
    fleet.now += ms(EXAMINATION);
    fleet.deliver(outgoing);
}

/// Guards against a sample that misses the living servers of a data centre most of whose servers are down: all
/// balancers ended the flows of the living ones too.
#[rstest]
fn a_living_server_keeps_its_flows_whatever_share_of_its_data_centre_is_down(
    #[values(15, 150, 3_000)] servers: u64,
    #[values(0, 50, 90, 97)] percent_down: u64,
) {
    check_flows_of_living_servers(servers, percent_down);
}

/// The same in a data centre of the size that is aimed at.
#[test]
fn a_living_server_among_ten_thousand_keeps_its_flows() {
    check_flows_of_living_servers(10_000, 97);
}

/// Lets packets to random servers go unanswered, and checks that this ends the flows of those that are down, and
/// of no others.
fn check_flows_of_living_servers(servers: u64, percent_down: u64) {
    let mut fleet = small_fleet(servers);
    let mut random = Pcg64::seed_from_u64(servers + percent_down);
    let is_down = |id: &str| {
        let number: u64 = id[2..].parse().expect("a number");
        number > sound(servers) && number % 100 < percent_down
    };

    for _ in 0..ROUNDS {
        let now = fleet.now;
        let mut noticed = Vec::new();
        for (address, core) in &mut fleet.cores {
            for _ in 0..UNANSWERED {
                let id: Arc<str> = name(sound(servers) + random.random_range(1..=servers)).into();
                core.record_unanswered(&id, now);
                noticed.push((*address, id));
            }
        }
        examine_once(&mut fleet, is_down);

        let now = fleet.now;
        for (address, core) in &mut fleet.cores {
            let (snapshot, _) = core.snapshot(now);
            let gone = |server: &&Server| server.standing == Standing::Gone;
            let gone = snapshot.servers.iter().filter(gone);
            let wrong: Vec<&Server> = gone.filter(|server| !is_down(&server.id)).collect();
            assert!(wrong.is_empty(), "{wrong:?}");
            for (_, id) in noticed
                .iter()
                .filter(|(at, id)| at == address && is_down(id))
            {
                let standing = snapshot.named(id).map(|server| server.standing);
                assert_eq!(standing, Some(Standing::Gone), "{id} at {address}");
            }
        }
    }
}
