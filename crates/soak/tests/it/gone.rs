//! Peers that are gone without a word, and strangers that hold connections.

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

/// How long the next fetch from a balancer may take, whatever became of those before.
const NEXT: Duration = Duration::from_secs(2);
/// Bytes of a question that a stranger announces.
const LONG: usize = 2 << 20;
/// Memory of a balancer for control, in bytes.
const MEMORY: u64 = 128 << 20;
/// Balancers that fetch and are gone in the middle of it.
const GONE: u8 = 16;
/// From the start of a process to its first fetch, on a busy machine.
const START: Duration = Duration::from_secs(2);
/// How long they fetch before: several fetches each.
const FETCHING: Duration = Duration::from_secs(6);

async fn fleet(balancers: u8) -> Fleet {
    Fleet::start(balancers, 1, Duration::from_millis(1))
        .await
        .expect("a deployment that starts")
}

fn silent(address: SocketAddrV4, count: usize) -> Vec<TcpStream> {
    let connect = |_| TcpStream::connect(address).expect("a connection");
    (0..count).map(connect).collect()
}

/// Connections that ask nothing take all places, and no peer is answered any more.
#[rstest]
#[case(8)]
#[case(400)]
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_is_answered_beside_connections_that_ask_nothing(#[case] count: usize) {
    let fleet = fleet(1).await;
    let held = silent(fleet.control(0), count);
    sleep(Duration::from_millis(100)).await;

    let start = Instant::now();
    let fetched = exchange::fetch(fleet.control(0), 0).await;

    assert!(fetched.is_ok(), "{fetched:?}");
    assert!(start.elapsed() <= NEXT, "{:?}", start.elapsed());
    drop(held);
}

/// Peers are paused in the middle of a fetch, over a line on which their questions, or the answers,
/// vanish. Then no other peer is answered.
#[rstest]
#[case::questions_vanish(proxy::Trouble::Silent)]
#[case::answers_vanish(proxy::Trouble::OneWay)]
#[tokio::test(flavor = "multi_thread")]
async fn peers_that_are_paused_in_a_fetch_keep_no_other_from_it(#[case] line: proxy::Trouble) {
    let mut fleet = fleet(GONE + 1).await;
    (1..=GONE).for_each(|number| fleet.kill(number));
    fleet.store.set_trouble(Trouble::Silent);
    let relay = fleet.relay(0).expect("a relay");
    relay.set_connection_trouble(line);
    for number in 1..=GONE {
        fleet.launch(number).expect("a balancer that starts");
    }
    sleep(FETCHING).await;
    for number in 1..=GONE {
        fleet.signal(number, Signal::SIGSTOP).expect("a signal");
    }

    let start = Instant::now();
    let fetched = exchange::fetch(fleet.control(0), 0).await;

    assert!(fetched.is_ok(), "{fetched:?}");
    assert!(start.elapsed() <= NEXT, "{:?}", start.elapsed());
}

/// Connections that ask nothing take all places, the routers' checks fail, and a balancer that is well
/// gets no packets any more.
#[rstest]
#[case(16)]
#[case(400)]
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_stays_in_rotation_beside_silent_connections(#[case] count: usize) {
    let fleet = fleet(1).await;
    let held = silent(fleet.ready(0), count);
    sleep(Duration::from_secs(3)).await;

    assert!(routers::is_ready(fleet.ready(0)).await);
    assert_eq!(fleet.in_rotation(), 1);
    drop(held);
}

/// The same where the connections are of routers that have asked before and were then paused.
#[rstest]
#[case(16)]
#[case(100)]
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_stays_in_rotation_beside_paused_routers(#[case] count: usize) {
    let fleet = fleet(1).await;
    let mut held = silent(fleet.ready(0), count);
    for router in &mut held {
        router
            .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("a question");
    }
    sleep(Duration::from_secs(3)).await;

    assert!(routers::is_ready(fleet.ready(0)).await);
    assert_eq!(fleet.in_rotation(), 1);
    drop(held);
}

/// Strangers announce long questions and send all but the last byte, on hundreds of connections. Buffered
/// whole, the questions take the VM's memory, and the balancer is ended for it.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_that_announce_long_questions_take_little_memory() {
    let fleet = fleet(1).await;
    let question = vec![0; LONG - 1];
    let mut held = silent(fleet.control(0), 256);
    for stranger in &mut held {
        let timeout = Some(Duration::from_millis(500));
        stranger.set_write_timeout(timeout).expect("a socket");
        // The balancer may close at any moment, which is what it should do.
        let _ = stranger.write_all(&(LONG as u32).to_be_bytes());
        let _ = stranger.write_all(&question);
    }

    let peak = fleet.peak_memory(0).expect("a process");

    assert!(peak < MEMORY, "{} MiB", peak >> 20);
    drop(held);
}

/// Most balancers are paused in the middle of a fetch and the store is away. One that starts then must
/// learn all from one that lives, or its callers are served by nobody.
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_that_starts_among_paused_ones_serves() {
    const LATER: u8 = GONE + 1;
    let mut fleet = fleet(LATER + 1).await;
    (1..=LATER).for_each(|number| fleet.kill(number));
    fleet.store.set_trouble(Trouble::Silent);
    for number in 1..=GONE {
        fleet.launch(number).expect("a balancer that starts");
    }
    sleep(FETCHING).await;
    for number in 1..=GONE {
        fleet.signal(number, Signal::SIGSTOP).expect("a signal");
    }

    fleet.launch(LATER).expect("a balancer that starts");

    let ready = async {
        while !fleet.log(LATER).contains("event=ready") {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let ready = timeout(START + NEXT, ready).await;
    assert!(ready.is_ok(), "{}", fleet.log(LATER));
}

/// Connections that ask nothing keep operators and scrapers out, who then take the balancer for dead.
#[tokio::test(flavor = "multi_thread")]
async fn operators_and_scrapers_are_answered_beside_silent_connections() {
    const COUNT: usize = 400;
    let fleet = fleet(1).await;
    let held = [fleet.admin(0), fleet.metrics(0)].map(|address| silent(address, COUNT));
    sleep(Duration::from_millis(100)).await;

    let status = acacia_api::ask(fleet.admin(0).into(), NEXT, async |admin, ctx| {
        admin.status(ctx).await
    })
    .await;
    let text = tokio::task::spawn_blocking({
        let address = fleet.metrics(0);
        move || scrape(address)
    });
    let text = timeout(NEXT, text)
        .await
        .expect("in time")
        .expect("no panic");

    assert!(status.is_ok(), "{status:?}");
    assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
    drop(held);
}
