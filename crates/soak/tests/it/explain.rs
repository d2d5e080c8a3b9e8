//! Finding the cause of a failed request from the balancers' logs alone, as described in
//! docs/OPERATIONS.md.
//!
//! The caller's own log maps a request id to the address and port that the request was sent from.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use acacia_adapter_stand::caller::End;
use acacia_soak::fleet::Fleet;
use nix::sys::signal::Signal;

const DEADLINE: Duration = Duration::from_secs(3);

async fn fleet(balancers: u8) -> Fleet {
    Fleet::start(balancers, 2, Duration::from_millis(1))
        .await
        .expect("a deployment that starts")
}

/// Log lines of `event` that contain all of `parts`.
fn lines<'a>(logs: &'a str, event: &str, parts: &[&str]) -> Vec<&'a str> {
    let event = format!("event={event} ");
    let holds = |line: &&str| line.contains(&event) && parts.iter().all(|part| line.contains(part));
    logs.lines().filter(holds).collect()
}

/// The value of `key` in a log line.
fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let start = format!(" {key}=");
    let (_, rest) = line
        .split_once(&start)
        .unwrap_or_else(|| panic!("no {key} in {line}"));
    rest.split_whitespace().next().unwrap_or_default()
}

fn caller(address: Ipv4Addr, port: u16) -> String {
    format!("caller={address}:{port} ")
}

/// Waits until `found` accepts the logs, as lines are written shortly after their event. Returns the
/// logs after 5 s in any case.
async fn logs(fleet: &Fleet, found: impl Fn(&str) -> bool) -> String {
    let start = Instant::now();
    loop {
        let logs = fleet.logs();
        if found(&logs) || start.elapsed() > Duration::from_secs(5) {
            return logs;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A feed breaks because its server died. The log of the flow's opening must name the server, and the
/// server's log lines must show when and how it was found silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_flow_that_ended_with_its_server_is_explained() {
    let mut fleet = fleet(2).await;
    let mut client = fleet.caller(0, 0).await.expect("a free address");
    let mut flow = client.open().await.expect("an open flow");
    assert_eq!(
        client.ask(&mut flow, b"0-before", DEADLINE).await,
        End::Answered
    );
    let served = |server: &acacia_soak::fleet::Server| !server.host.take_seen().ran.is_empty();
    let dead = fleet
        .servers
        .iter()
        .find(|(_, server)| served(server))
        .map(|(number, _)| *number);
    fleet
        .servers
        .remove(&dead.expect("a server that ran the request"));
    assert_eq!(
        client.ask(&mut flow, b"0-after", DEADLINE).await,
        End::Reset
    );

    let who = caller(client.address(), flow.port());
    let told = |logs: &str| {
        !lines(logs, "flow-ended", &[&who]).is_empty()
            || !lines(logs, "flow-reset", &[&who]).is_empty()
    };
    let logs = logs(&fleet, told).await;

    let server = value(lines(&logs, "flow-opened", &[&who])[0], "server").to_owned();
    let named = format!("server={server}");
    assert!(
        !lines(&logs, "server-suspected", &[&named, "by=packets"]).is_empty(),
        "{logs}"
    );
    assert!(
        !lines(&logs, "server-silent", &[&named]).is_empty(),
        "{logs}"
    );
    let ended = [
        lines(&logs, "flow-ended", &[&who]),
        lines(&logs, "flow-reset", &[&who]),
    ]
    .concat();
    assert!(ended[0].contains("code=flow-server-gone(241)"), "{ended:?}");
}

/// A caller is refused because a configuration removed its route. The log line of the reset must name
/// the version in force, and the line of that configuration must show what it removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_refused_by_the_configuration_is_explained() {
    let mut fleet = fleet(2).await;
    let mut client = fleet.caller(0, 1).await.expect("a free address");
    fleet.configure(&[0]);
    let mut end = client.open().await.err();
    for _ in 0..50 {
        if end == Some(End::Refused) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        end = client.open().await.err();
    }
    assert_eq!(end, Some(End::Refused));

    let who = format!("caller={}:", client.address());
    let logs = logs(&fleet, |logs| {
        !lines(logs, "flow-reset", &[&who]).is_empty()
    })
    .await;

    let reset = lines(&logs, "flow-reset", &[&who, "code=service-unknown(209)"])[0];
    let version = format!("version={}", value(reset, "version"));
    let config = lines(&logs, "config", &[&version]);
    assert_eq!(value(config[0], "removed"), "1", "{config:?}");
}

/// A request times out because all balancers were down. No log line mentions the request, but the
/// first lines of the restarted balancers must show the gap.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_lost_during_a_restart_is_explained() {
    let mut fleet = fleet(2).await;
    let mut client = fleet.caller(0, 0).await.expect("a free address");
    let before = logs(&fleet, |logs| lines(logs, "ready", &[]).len() == 2).await;
    assert_eq!(lines(&before, "ready", &[]).len(), 2, "{before}");
    for number in fleet.balancers() {
        fleet.kill(number);
    }
    assert_eq!(client.open().await.err(), Some(End::Silent));
    for number in fleet.balancers() {
        fleet.launch(number).expect("a balancer that starts");
    }

    let logs = logs(&fleet, |logs| lines(logs, "ready", &[]).len() == 2).await;

    let who = format!("caller={}:", client.address());
    assert!(lines(&logs, "flow-opened", &[&who]).is_empty(), "{logs}");
    for line in lines(&logs, "ready", &[]) {
        assert!(value(line, "took_ms").parse::<u64>().is_ok(), "{line}");
    }
    assert_eq!(lines(&logs, "started", &[]).len(), 2);
}

/// A planned shutdown must log lines of its own, so that it is not mistaken for a crash.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_shutdown_is_distinguishable_from_a_crash() {
    let mut fleet = fleet(2).await;
    fleet.signal(1, Signal::SIGTERM).expect("a signal");

    let logs = logs(&fleet, |logs| !lines(logs, "ended", &[]).is_empty()).await;

    assert_eq!(
        lines(&logs, "leaving", &[]).len() + usize::from(logs.contains("event=leaving\n")),
        1,
        "{logs}"
    );
    assert_eq!(lines(&logs, "ended", &["name=entry-1"]).len(), 1, "{logs}");
}
