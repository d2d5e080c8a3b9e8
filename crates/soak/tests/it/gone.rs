//! Peers that disappear without closing connections, and unauthenticated clients that hold
//! connections.

use std::{
    io::Write as _,
    net::{SocketAddrV4, TcpStream},
    time::{Duration, Instant},
};

use acacia_adapter_stand::{routers, store::Trouble};
use acacia_node::cookie::exchange;
use acacia_soak::{fleet::Fleet, proxy};
use nix::sys::signal::Signal;
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::metrics::scrape;

/// Time limit for a request to a balancer while earlier connections are stuck.
const RESPONSE_LIMIT: Duration = Duration::from_secs(2);
/// Announced length of a request by an unauthenticated client, in bytes.
const REQUEST_LENGTH: usize = 2 << 20;
/// Memory budget of a balancer's control plane, in bytes.
const MEMORY_LIMIT: u64 = 128 << 20;
/// Number of balancers that are paused during a fetch.
const PAUSED: u8 = 16;
/// Time from the start of a process to its first fetch on a busy machine.
const START_TIME: Duration = Duration::from_secs(2);
/// Time for which they fetch before the pause: several fetches each.
const FETCH_TIME: Duration = Duration::from_secs(6);

async fn fleet(balancers: u8) -> Fleet {
    Fleet::start(balancers, 1, Duration::from_millis(1))
        .await
        .expect("a deployment that starts")
}

fn idle_connections(address: SocketAddrV4, count: usize) -> Vec<TcpStream> {
    let connect = |_| TcpStream::connect(address).expect("a connection");
    (0..count).map(connect).collect()
}

/// Idle connections must not use up all connection slots and keep peers from being answered.
#[rstest]
#[case(8)]
#[case(400)]
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_is_answered_despite_idle_connections(#[case] count: usize) {
    let fleet = fleet(1).await;
    let held = idle_connections(fleet.control(0), count);
    sleep(Duration::from_millis(100)).await;

    let start = Instant::now();
    let fetched = exchange::fetch(fleet.control(0), 0).await;

    assert!(fetched.is_ok(), "{fetched:?}");
    assert!(start.elapsed() <= RESPONSE_LIMIT, "{:?}", start.elapsed());
    drop(held);
}

/// Peers are paused during a fetch while their requests, or the responses, are dropped by the
/// network. The stuck connections must not keep other peers from being answered.
#[rstest]
#[case::requests_are_dropped(proxy::Trouble::Silent)]
#[case::responses_are_dropped(proxy::Trouble::OneWay)]
#[tokio::test(flavor = "multi_thread")]
async fn peers_paused_during_a_fetch_do_not_block_others(#[case] line: proxy::Trouble) {
    let mut fleet = fleet(PAUSED + 1).await;
    (1..=PAUSED).for_each(|number| fleet.kill(number));
    fleet.store.set_trouble(Trouble::Silent);
    let relay = fleet.relay(0).expect("a relay");
    relay.set_connection_trouble(line);
    for number in 1..=PAUSED {
        fleet.launch(number).expect("a balancer that starts");
    }
    sleep(FETCH_TIME).await;
    for number in 1..=PAUSED {
        fleet.signal(number, Signal::SIGSTOP).expect("a signal");
    }

    let start = Instant::now();
    let fetched = exchange::fetch(fleet.control(0), 0).await;

    assert!(fetched.is_ok(), "{fetched:?}");
    assert!(start.elapsed() <= RESPONSE_LIMIT, "{:?}", start.elapsed());
}

/// If idle connections use up all connection slots, the routers' checks fail and a healthy balancer
/// gets no packets any more.
#[rstest]
#[case(16)]
#[case(400)]
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_stays_in_rotation_despite_idle_connections(#[case] count: usize) {
    let fleet = fleet(1).await;
    let held = idle_connections(fleet.ready(0), count);
    sleep(Duration::from_secs(3)).await;

    assert!(routers::is_ready(fleet.ready(0)).await);
    assert_eq!(fleet.in_rotation(), 1);
    drop(held);
}

/// As above, with connections of routers that have sent a check and were then paused.
#[rstest]
#[case(16)]
#[case(100)]
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_stays_in_rotation_despite_paused_routers(#[case] count: usize) {
    let fleet = fleet(1).await;
    let mut held = idle_connections(fleet.ready(0), count);
    for router in &mut held {
        router
            .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("a request");
    }
    sleep(Duration::from_secs(3)).await;

    assert!(routers::is_ready(fleet.ready(0)).await);
    assert_eq!(fleet.in_rotation(), 1);
    drop(held);
}

/// Unauthenticated clients announce long requests on hundreds of connections and send all but the last
/// byte. If the balancer buffered them whole, it would exhaust the VM's memory and be killed.
#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_clients_that_announce_long_requests_use_little_memory() {
    let fleet = fleet(1).await;
    let request = vec![0; REQUEST_LENGTH - 1];
    let mut held = idle_connections(fleet.control(0), 256);
    for client in &mut held {
        let timeout = Some(Duration::from_millis(500));
        client.set_write_timeout(timeout).expect("a socket");
        // The write fails if the balancer closes the connection, which is correct.
        let _ = client.write_all(&(REQUEST_LENGTH as u32).to_be_bytes());
        let _ = client.write_all(&request);
    }

    let peak = fleet.peak_memory(0).expect("a process");

    assert!(peak < MEMORY_LIMIT, "{} MiB", peak >> 20);
    drop(held);
}

/// Most balancers are paused during a fetch and the store is silent. A balancer that starts then must
/// get its state from one that is running, or it cannot serve its callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_that_starts_among_paused_ones_serves() {
    const LATE_STARTER: u8 = PAUSED + 1;
    let mut fleet = fleet(LATE_STARTER + 1).await;
    (1..=LATE_STARTER).for_each(|number| fleet.kill(number));
    fleet.store.set_trouble(Trouble::Silent);
    for number in 1..=PAUSED {
        fleet.launch(number).expect("a balancer that starts");
    }
    sleep(FETCH_TIME).await;
    for number in 1..=PAUSED {
        fleet.signal(number, Signal::SIGSTOP).expect("a signal");
    }

    fleet.launch(LATE_STARTER).expect("a balancer that starts");

    let ready = async {
        while !fleet.log(LATE_STARTER).contains("event=ready") {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let ready = timeout(START_TIME + RESPONSE_LIMIT, ready).await;
    assert!(ready.is_ok(), "{}", fleet.log(LATE_STARTER));
}

/// If idle connections lock out operators and scrapers, these consider the balancer dead.
#[tokio::test(flavor = "multi_thread")]
async fn operators_and_scrapers_are_answered_despite_idle_connections() {
    const COUNT: usize = 400;
    let fleet = fleet(1).await;
    let held = [fleet.admin(0), fleet.metrics(0)].map(|address| idle_connections(address, COUNT));
    sleep(Duration::from_millis(100)).await;

    let status = acacia_api::ask(fleet.admin(0).into(), RESPONSE_LIMIT, async |admin, ctx| {
        admin.status(ctx).await
    })
    .await;
    let text = tokio::task::spawn_blocking({
        let address = fleet.metrics(0);
        move || scrape(address)
    });
    let text = timeout(RESPONSE_LIMIT, text)
        .await
        .expect("in time")
        .expect("no panic");

    assert!(status.is_ok(), "{status:?}");
    assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
    drop(held);
}
