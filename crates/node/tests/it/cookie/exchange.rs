//! Differences as they are fetched from a peer, over real connections.

use std::net::{SocketAddr, SocketAddrV4};

use acacia_catalog::Change;
use acacia_node::cookie::{
    exchange,
    message::{Difference, Known},
};
use tokio::net::{TcpListener, TcpStream};

use super::fixture::{config, removed, server};

/// Balancers that one passes a large configuration on to.
const BRANCHES: u64 = 3;
/// What a link of 10 Mbit/s carries in the 200 ms after which callers send a packet again.
const UNNOTICED: u64 = 250_000;

async fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    match listener.local_addr().expect("a bound socket") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// Fetches a difference over a connection that counts; gives what came in and the bytes that it took.
async fn fetch(difference: Difference) -> (Difference, u64) {
    let (served, to) = listener().await;
    let (counted, at) = listener().await;
    let serve = async {
        let (stream, _) = served.accept().await.expect("a connection");
        exchange::serve(stream, move |_| difference.clone()).await;
    };
    let count = async {
        let (mut near, _) = counted.accept().await.expect("a connection");
        let mut far = TcpStream::connect(to).await.expect("a peer");
        let copied = tokio::io::copy_bidirectional(&mut near, &mut far).await;
        copied.expect("both ends close").1
    };

    let (fetched, bytes, ()) = tokio::join!(exchange::fetch(at, 0), count, serve);

    (fetched.expect("an answer"), bytes)
}

fn difference(changes: Vec<Change>) -> Difference {
    Difference {
        known: Known {
            revision: 9,
            age_ms: Some(3),
        },
        changes,
        whole: false,
    }
}

#[tokio::test]
async fn what_a_peer_knows_is_fetched_as_it_is() {
    let sent = difference(vec![config(5, 3), server("i-1", 7), removed("i-2", 9)]);

    let (fetched, _) = fetch(sent.clone()).await;

    assert_eq!(fetched, sent);
}

/// Operators add 1,400 routes. Each balancer passes them on to three others over a link of 10 Mbit/s,
/// and callers' packets wait behind that. What takes longer than callers wait for an answer makes
/// them send again and puts living servers under suspicion; as JSON it took 380 ms.
#[tokio::test]
async fn a_large_configuration_leaves_callers_packets_room_on_a_small_link() {
    let (_, bytes) = fetch(difference(vec![config(5, 1_400)])).await;

    assert!(BRANCHES * bytes <= UNNOTICED, "{bytes} bytes each");
}
