use std::time::Duration;

use acacia_adapter_stand::{caller::End, store::Trouble};
use acacia_soak::fleet::Fleet;
use nix::sys::signal::Signal;

const DEADLINE: Duration = Duration::from_secs(3);

async fn fleet(balancers: u8) -> Fleet {
    Fleet::start(balancers, 3, Duration::from_millis(1))
        .await
        .expect("a deployment that starts")
}

/// Opens a flow and sends one request.
async fn ask(fleet: &Fleet, number: u8, service: usize) -> End {
    let mut caller = fleet.caller(number, service).await.expect("a free address");
    match caller.open().await {
        Ok(mut flow) => caller.ask(&mut flow, b"0-request", DEADLINE).await,
        Err(end) => end,
    }
}

/// Sends up to 50 requests until one ends as `expected`.
async fn ends_as(fleet: &Fleet, service: usize, expected: End) -> bool {
    for _ in 0..50 {
        if ask(fleet, 9, service).await == expected {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flow_s_packets_may_reach_any_balancer() {
    let fleet = fleet(3).await;
    let mut caller = fleet.caller(0, 0).await.expect("a free address");
    let mut flow = caller.open().await.expect("an open flow");

    for number in 0..30 {
        let request = format!("0-{number}");
        assert_eq!(
            caller.ask(&mut flow, request.as_bytes(), DEADLINE).await,
            End::Answered
        );
    }

    let rejected: u64 = fleet
        .servers
        .values()
        .map(|server| server.host.take_seen().rejected)
        .sum();
    assert_eq!(rejected, 0);
}

/// A balancer is shut down while flows are open. It must leave the rotation and forward packets that
/// still arrive, so that no flow breaks.
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_that_shuts_down_breaks_no_flow() {
    let mut fleet = fleet(3).await;
    let mut caller = fleet.caller(0, 0).await.expect("a free address");
    let mut flow = caller.open().await.expect("an open flow");

    fleet.signal(1, Signal::SIGTERM).expect("a signal");
    for number in 0..60 {
        let rotation = fleet.rotation().lock().expect("a lock").clone();
        caller.set_balancers(rotation);
        let request = format!("0-{number}");
        assert_eq!(
            caller.ask(&mut flow, request.as_bytes(), DEADLINE).await,
            End::Answered
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    assert!(!fleet.is_running(1));
    assert!(fleet.log(1).contains("event=leaving"), "{}", fleet.log(1));
}

/// After a route is removed, every balancer must refuse new callers of it at once, although only one
/// balancer reads the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_routes_is_in_force_within_the_bound() {
    let mut fleet = fleet(3).await;
    assert_eq!(ask(&fleet, 0, 1).await, End::Answered);

    fleet.configure(&[0]);

    assert!(ends_as(&fleet, 1, End::Refused).await);
    for number in 0..6 {
        assert_eq!(ask(&fleet, number, 1).await, End::Refused);
        assert_eq!(ask(&fleet, number, 0).await, End::Answered);
    }
}

/// A server's VM dies: it does not answer, but its entry stays in the store. New callers must be
/// served by other servers, and the open flow must be reset before the caller's own time limit.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_dead_server_are_reset_and_served_by_others() {
    let mut fleet = fleet(2).await;
    let mut caller = fleet.caller(0, 0).await.expect("a free address");
    let mut flow = caller.open().await.expect("an open flow");
    assert_eq!(
        caller.ask(&mut flow, b"0-before", DEADLINE).await,
        End::Answered
    );

    // Nothing answers at the server's address from here on.
    let lost = fleet.lose_server_in_use();
    assert!(lost.is_some(), "a server that ran the request");
    let start = std::time::Instant::now();
    let end = caller.ask(&mut flow, b"0-after", DEADLINE).await;

    assert_eq!(end, End::Reset);
    assert!(
        start.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        start.elapsed()
    );
    for number in 1..8 {
        assert_eq!(ask(&fleet, number, 0).await, End::Answered);
    }
}

/// A balancer restarts while the store is silent. It must get its state from its peers and serve
/// within seconds; if it waited for the store, its callers would get no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_that_starts_while_the_store_is_silent_serves() {
    let mut fleet = fleet(3).await;
    // Wait until the balancers have found each other.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.store.set_trouble(Trouble::Silent);
    fleet.kill(2);

    fleet.launch(2).expect("a balancer that starts");
    let ready = async {
        while !fleet.log(2).contains("event=ready") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), ready)
        .await
        .expect("ready without the store");

    assert_eq!(ask(&fleet, 0, 0).await, End::Answered);
}

/// Malformed input on the ports of a balancer must not end the process or affect callers.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_on_every_port_disturbs_nobody() {
    use std::io::Write as _;
    let mut fleet = fleet(2).await;
    let target = fleet.rotation().lock().expect("a lock")[0];
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    for length in 0..300usize {
        let noise: Vec<u8> = (0..length).map(|at| (at * 31 + length) as u8).collect();
        for port in [target.port(), 6_081] {
            socket
                .send_to(&noise, (*target.ip(), port))
                .expect("a datagram");
        }
        if length % 50 == 0 {
            for port in [6_081, 6_084] {
                let mut stream =
                    std::net::TcpStream::connect((*target.ip(), port)).expect("a connection");
                stream.write_all(&noise).expect("bytes");
            }
        }
    }

    assert_eq!(ask(&fleet, 0, 0).await, End::Answered);
    assert!(fleet.is_running(0) && fleet.is_running(1));
}
