use std::{thread::sleep, time::Duration};

use acacia_config::Config;
use acacia_e2e::deployment::{Deployment, Plan, Service};

use crate::fixture::{CALLER, Counts, DRAINED, counts, feeds, served_by, small};

/// Two services that use the same address one after the other, and a third service.
fn plan() -> Plan {
    let mut plan = small(3);
    let old = plan.services[0].clone();
    plan.services.push(Service {
        name: "talkoo-uusi",
        servers: 3,
        at_start: false,
        ..old
    });
    plan
}

fn config_without(deployment: &Deployment, names: &[&str]) -> Config {
    let choose = |service: &Service| !names.contains(&service.name);
    deployment.config_of(choose).unwrap()
}

/// A service is removed, and later another one is created at the same address with its own backend
/// servers, while callers of the old service still send on open feeds. Forwarding such a packet to the
/// new service would mix the traffic of two customers, and the server would answer with a reset. No
/// packet of an old feed may reach the new service.
#[test]
fn an_address_taken_over_by_another_service_gets_no_packet_of_old_feeds() {
    let mut deployment = Deployment::start(plan()).unwrap();
    deployment.settle();
    let old = feeds(&deployment, 1, 24, 24);
    sleep(Duration::from_secs(2));

    let neither = config_without(&deployment, &["talkoo-live", "talkoo-uusi"]);
    let removed = deployment.apply(&neither).unwrap();
    deployment.wait_in_force(&[1, 2, 3], removed).unwrap();
    sleep(DRAINED);
    let new = config_without(&deployment, &["talkoo-live"]);
    let created = deployment.apply(&new).unwrap();
    deployment.wait_in_force(&[1, 2, 3], created).unwrap();
    sleep(DRAINED);
    let done = served_by(&deployment, 2, "talkoo-uusi", 4);

    let _old = old.wait(CALLER).unwrap();
    let servers = deployment.end_servers().unwrap();
    let new: Vec<Counts> = servers
        .iter()
        .filter(|line| line.starts_with("name=talkoo-uusi"))
        .map(|line| counts(line))
        .collect();
    let sum = |name: &str| new.iter().map(|server| server[name]).sum::<u64>();
    assert_eq!((sum("resets"), sum("feeds")), (0, 0), "{servers:?}");
    assert_eq!(
        (sum("opened"), sum("checkins")),
        (done, done),
        "{servers:?}"
    );
}
