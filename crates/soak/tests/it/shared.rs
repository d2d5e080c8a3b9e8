//! Servers whose identifiers lead to the same cookie.

use std::{collections::HashMap, time::Duration};

use acacia_adapter_stand::caller::{Caller, End, Flow};
use acacia_cookie::cookie::Cookie;
use acacia_soak::fleet::Fleet;
use nix::sys::signal::Signal;
use rstest::rstest;

const DEADLINE: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_millis(1);
/// The numbers of the two servers.
const OLDER: u8 = 0;
const YOUNGER: u8 = 2;
/// The balancer that restarts.
const RESTARTED: u8 = 0;

/// The tags of two servers whose identifiers have the same first cookie, found by search.
fn tags_with_same_cookie() -> (u64, u64) {
    let mut seen = HashMap::new();
    for tag in 1.. {
        if let Some(other) = seen.insert(Cookie::of(&format!("i-{tag:x}"), 0), tag) {
            return (other, tag);
        }
    }
    unreachable!("the search ends with a pair")
}

/// Three balancers, which know the older server, and in the end the younger one too.
async fn fleet() -> Fleet {
    let mut fleet = Fleet::start(3, 0, WORK).await.expect("a deployment");
    let (older, _) = tags_with_same_cookie();
    let added = fleet.add_server_with_tag(OLDER, 0, older, WORK).await;
    added.expect("a server");
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// Starts the younger server, and shuts the older one down to the point that `leave` tells.
async fn release(fleet: &mut Fleet, leave: bool) {
    let (_, younger) = tags_with_same_cookie();
    let added = fleet.add_server_with_tag(YOUNGER, 0, younger, WORK).await;
    added.expect("a server");
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.set_state(OLDER, "draining");
    if leave {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.remove_server(OLDER);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
}

/// Stops the balancer by SIGTERM and starts it again.
async fn restart(fleet: &mut Fleet) {
    fleet.signal(RESTARTED, Signal::SIGTERM).expect("a signal");
    while fleet.is_running(RESTARTED) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.launch(RESTARTED).expect("a balancer that starts");
    let ready = async {
        while !fleet.log(RESTARTED).contains("event=ready") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let ready = tokio::time::timeout(Duration::from_secs(10), ready).await;
    ready.expect("a balancer that is ready");
    tokio::time::sleep(Duration::from_secs(1)).await;
}

/// Opens flows through the given balancers.
async fn open(fleet: &Fleet, through: &[u8]) -> Vec<(Caller, Flow)> {
    let mut flows = Vec::new();
    for number in 0..8 {
        let mut caller = fleet.caller(number, 0).await.expect("a free address");
        caller.set_balancers(through.iter().map(|one| fleet.traffic(*one)).collect());
        let flow = caller.open().await.expect("an open flow");
        flows.push((caller, flow));
    }
    flows
}

/// Sends a request on each flow through the given balancers, and returns how they end.
async fn ask(fleet: &Fleet, flows: &mut [(Caller, Flow)], through: &[u8]) -> Vec<End> {
    let mut ends = Vec::new();
    for (number, (caller, flow)) in flows.iter_mut().enumerate() {
        caller.set_balancers(through.iter().map(|one| fleet.traffic(*one)).collect());
        let request = format!("{number}-after");
        ends.push(caller.ask(flow, request.as_bytes(), DEADLINE).await);
    }
    ends
}

/// Guards against a balancer that, restarted in a release, sends the open flows of a draining server to
/// another one with the same cookie.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_in_a_release_breaks_no_flow_of_a_draining_server() {
    let mut fleet = fleet().await;
    let mut flows = open(&fleet, &[RESTARTED, 1, 2]).await;
    release(&mut fleet, false).await;
    restart(&mut fleet).await;

    let ends = ask(&fleet, &mut flows, &[RESTARTED]).await;

    assert_eq!(ends, [End::Answered; 8], "{}", fleet.logs());
}

/// Guards against balancers that reset the flows which a balancer opened that never saw the server that had
/// their cookie before.
#[rstest]
#[case::opened_by_the_restarted_one(&[RESTARTED], &[1, 2])]
#[case::opened_by_the_others(&[1, 2], &[RESTARTED])]
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_after_a_release_breaks_no_flow_of_the_new_server(
    #[case] opened: &[u8],
    #[case] continued: &[u8],
) {
    let mut fleet = fleet().await;
    release(&mut fleet, true).await;
    restart(&mut fleet).await;
    let mut flows = open(&fleet, opened).await;

    let ends = ask(&fleet, &mut flows, continued).await;

    assert_eq!(ends, [End::Answered; 8], "{}", fleet.logs());
}
