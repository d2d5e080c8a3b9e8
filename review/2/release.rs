//! A server is replaced in a release while a balancer is stopped and started again. The new server's name
//! and the old one's lead to the same cookie.

use std::{collections::HashMap, sync::Arc, thread, time::Duration};

use crate::{
    Record,
    deployment::{Deployment, ZONES},
    fail,
    net::{Client, End, Host},
};

const BALANCERS: usize = 3;
/// Flows that are opened before the release.
const FLOWS: u8 = 30;
const ROUTE: ([u8; 4], u16) = ([198, 18, 0, 1], 8_443);

fn mix(value: u64) -> u64 {
    let z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Two numbers of servers whose names have the same cookie, a hash of 30 bits.
fn pair() -> (u64, u64) {
    let mut known: HashMap<u32, u64> = HashMap::new();
    for tag in 0x1000_0000.. {
        let name = format!("i-{tag:08x}");
        let hash = name
            .bytes()
            .fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        let cookie = (mix(hash) as u32) << 2;
        if let Some(other) = known.insert(cookie, tag) {
            return (other, tag);
        }
    }
    fail("no pair of names")
}

fn config() -> String {
    let address = std::net::Ipv4Addr::from(ROUTE.0);
    let port = ROUTE.1;
    format!(
        "{{\"version\":2,\"routes\":[{{\"name\":\"r-live\",\"hostname\":\"{address}\",\"prefix\":\"/{port}/\",\"route_type\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":1,\"service\":\"talkoo-live\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"talkoo-live\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

pub fn run(record: &Record, trouble: bool) -> u32 {
    let deployment = Deployment::new("release", BALANCERS, record.clone());
    let (old, new) = pair();
    let start = |number: u8, tag: u64| {
        Host::start(number, tag, "talkoo-live", deployment.port, record.clone())
    };
    let announce = |host: &Host, zone: &str| {
        let revision = deployment
            .store
            .put(&format!("servers/{}", host.id), &host.entry(zone));
        record.line(&format!(
            "server={} entry={} revision={revision}",
            host.id,
            host.entry(zone)
        ));
    };
    let hosts: Vec<Arc<Host>> = vec![start(1, old), start(2, 0x7f3a_9102), start(3, 0x7f3a_9103)];
    for (host, zone) in hosts.iter().zip(ZONES) {
        announce(host, zone);
    }
    deployment.store.put("op/config", &config());
    (0..BALANCERS).for_each(|balancer| deployment.start(balancer));
    deployment.wait_ready(0..BALANCERS);
    thread::sleep(Duration::from_secs(4));
    let through = deployment.traffic(0);
    let mut flows = Vec::new();
    for number in 0..FLOWS {
        let caller = [127, 0, 31, number + 1];
        let Ok(mut client) = Client::open(caller, deployment.port, through, ROUTE) else {
            fail("a flow does not open");
        };
        let end = client.request(through, &format!("first-{number}"));
        record.line(&format!("flow={number} opened, first request ends {end:?}"));
        if end != End::Answered {
            fail("a request before the release is not answered");
        }
        flows.push((number, client));
    }
    let server = Arc::clone(&hosts[0]);
    flows.retain(|(_, client)| server.holds(client.end));
    record.line(&format!(
        "{} flows are open at server={}",
        flows.len(),
        server.id
    ));
    if flows.is_empty() {
        fail("no flow at the server");
    }
    // The new server starts first, then the old one drains.
    let successor = start(4, new);
    announce(&successor, ZONES[0]);
    thread::sleep(Duration::from_secs(1));
    server.drain();
    announce(&server, ZONES[0]);
    thread::sleep(Duration::from_millis(200));
    if trouble {
        deployment.restart(0);
        deployment.wait_ready(0..1);
    }
    thread::sleep(Duration::from_millis(500));
    let mut broken = 0;
    for (number, client) in &mut flows {
        let request = format!("second-{number}");
        let end = client.request(through, &request);
        let ran = server.ran(&request);
        record.line(&format!(
            "flow={number} second request ends {end:?} ran={ran}"
        ));
        // The flow's server is alive and holds the flow, and sent no reset.
        if end == End::Reset && server.holds(client.end) {
            broken += 1;
        }
    }
    broken
}
