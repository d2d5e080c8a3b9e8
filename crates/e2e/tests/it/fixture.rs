use std::{collections::BTreeMap, time::Duration};

use acacia_e2e::{
    deployment::{Deployment, Plan, Service},
    process::Process,
};

/// Longest time that a caller may take to end by itself.
pub const CALLER: Duration = Duration::from_secs(60);

/// Two services in three data centres, a few servers each.
pub fn small(balancers: u16) -> Plan {
    Plan {
        services: vec![
            Service {
                name: "talkoo-live",
                address: "198.51.100.1:443".parse().unwrap(),
                servers: 4,
                slots: 2,
                work: vec![1],
            },
            Service {
                name: "karttapalvelu",
                address: "198.51.100.2:443".parse().unwrap(),
                servers: 2,
                slots: 2,
                work: vec![1],
            },
        ],
        balancers,
        data_centres: vec!["hervanta", "lielahti", "kangasala"],
    }
}

/// Counts by name.
pub type Counts = BTreeMap<String, u64>;

/// Feeds of talkoo-live, held open for `seconds`, with a line a second.
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

/// One count, summed over several lines.
pub fn sum(lines: &[String], name: &str) -> u64 {
    lines.iter().map(|line| counts(line)[name]).sum()
}

/// The counts of a line of key=value pairs; values that are no numbers are left out.
pub fn counts(line: &str) -> Counts {
    line.split_whitespace()
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(key, value)| Some((key.to_owned(), value.parse().ok()?)))
        .collect()
}
