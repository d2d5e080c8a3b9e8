use std::{collections::BTreeMap, thread::sleep, time::Duration};

use acacia_config::{Mark, State};
use acacia_e2e::{
    deployment::{Deployment, Plan, Service},
    process::Process,
};

/// Time limit for a caller to exit by itself.
pub const CALLER: Duration = Duration::from_secs(60);

/// A plan with two services, with four and two servers, in three data centres.
pub fn small(balancers: u16) -> Plan {
    Plan {
        services: vec![
            Service {
                name: "talkoo-live",
                address: "198.51.100.1:443".parse().unwrap(),
                mark: Mark::Paying,
                servers: 4,
                slots: 2,
                work: vec![1],
                at_start: true,
            },
            Service {
                name: "karttapalvelu",
                address: "198.51.100.2:443".parse().unwrap(),
                mark: Mark::Trial,
                servers: 2,
                slots: 2,
                work: vec![1],
                at_start: true,
            },
        ],
        balancers,
        data_centres: vec!["hervanta", "lielahti", "kangasala"],
    }
}

/// Numeric values of an output line by name.
pub type Counts = BTreeMap<String, u64>;

/// Starts a caller that holds `count` feeds of talkoo-live open for `seconds`, with one line per
/// second on each.
pub fn feeds(deployment: &Deployment, number: u8, count: usize, seconds: u64) -> Process {
    let arguments = [
        ("feeds", count.to_string()),
        ("interval", "1000".to_owned()),
        ("seconds", seconds.to_string()),
    ];
    deployment
        .caller(number, "talkoo-live", &arguments)
        .unwrap()
}

/// Sum of the value `name` over all lines.
pub fn sum(lines: &[String], name: &str) -> u64 {
    lines.iter().map(|line| counts(line)[name]).sum()
}

/// Parses a line of `key=value` pairs, without values that are not numbers.
pub fn counts(line: &str) -> Counts {
    line.split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(key, value)| Some((key.to_owned(), value.parse().ok()?)))
        .collect()
}

/// Several times as long as it takes until a drain is known to every balancer and new flows go to
/// other servers.
pub const DRAINED: Duration = Duration::from_secs(6);

/// Drains the server `name` without a deadline, in addition to those that are draining already.
/// Returns the revision of the configuration.
pub fn drain(deployment: &mut Deployment, name: &str) -> u64 {
    let mut config = deployment.current().unwrap();
    let found = config.update_server(name, |server| {
        server.state = State::Drain { deadline: None }
    });
    assert!(found);
    deployment.apply(&config).unwrap()
}

/// Starts a deployment, waits until its balancers own flows, and drains the first server of
/// talkoo-live.
pub fn drained(balancers: u16) -> Deployment {
    let mut deployment = Deployment::start(small(balancers)).unwrap();
    deployment.settle();
    drain(&mut deployment, "talkoo-live-1");
    sleep(DRAINED);
    deployment
}

/// Starts a caller that makes 30 check-ins per second for `seconds`.
pub fn checkins(deployment: &Deployment, number: u8, seconds: u64) -> Process {
    let arguments = [("rate", "30".to_owned()), ("seconds", seconds.to_string())];
    deployment
        .caller(number, "talkoo-live", &arguments)
        .unwrap()
}

/// Makes check-ins with talkoo-live for `seconds` and requires that all are answered completely.
pub fn served(deployment: &Deployment, number: u8, seconds: u64) {
    served_by(deployment, number, "talkoo-live", seconds);
}

/// Makes check-ins with `service` for `seconds` and requires that all are answered completely. Returns
/// their number.
pub fn served_by(deployment: &Deployment, number: u8, service: &str, seconds: u64) -> u64 {
    let arguments = [("rate", "30".to_owned()), ("seconds", seconds.to_string())];
    let caller = deployment.caller(number, service, &arguments).unwrap();
    let ended = caller.wait(CALLER).unwrap();
    let counts = assert_whole(&format!("check-ins {}", ended.log), &ended.output);
    assert!(counts["done"] > 20 * seconds, "{}", ended.output);
    counts["done"]
}

/// Requires that no flow broke, went unanswered or was refused. Returns the counts of `line`.
pub fn assert_whole(what: &str, line: &str) -> Counts {
    let counts = counts(line);
    assert_eq!(
        (counts["broken"], counts["unanswered"], counts["refused"]),
        (0, 0, 0),
        "{what}: {line}"
    );
    counts
}

/// Runs `work` and requires that none of `servers` accepts a new connection meanwhile.
pub fn idle(deployment: &Deployment, servers: &[&str], work: impl FnOnce()) {
    let opened = || -> Vec<u64> {
        let counts = servers.iter().map(|name| deployment.opened(name).unwrap());
        counts.collect()
    };
    let before = opened();
    work();
    assert_eq!(opened(), before, "new work on drained servers {servers:?}");
}
