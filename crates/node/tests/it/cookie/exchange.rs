//! Fetches of differences from a peer, over real connections.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use acacia_catalog::{Change, Position};
use acacia_node::cookie::{
    exchange,
    message::{Difference, Known},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::sleep,
};

use super::fixture::{config, removed, server};

/// Number of balancers to which each balancer passes on a large configuration.
const FANOUT: u64 = 3;
/// Number of bytes that a link of 10 Mbit/s carries in the 200 ms after which callers retransmit a packet.
const MAX_BYTES: u64 = 250_000;

async fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    match listener.local_addr().expect("a bound socket") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// Number of bytes that a slow link transfers at a time. With [`PAUSE`] this is 240 kbit/s, the part of a
/// link of 2 Mbit/s that other transfers and callers leave.
const CHUNK: usize = 3_000;
/// Pause of a slow link after each chunk.
const PAUSE: Duration = Duration::from_millis(100);

/// Fetches a difference through a proxy that pauses after each chunk. Returns what was fetched and the
/// number of bytes of the response.
async fn fetch(difference: Difference, pause: Duration) -> (Difference, u64) {
    let (peer_listener, peer_address) = listener().await;
    let (proxy_listener, proxy_address) = listener().await;
    let serve = async {
        let (stream, _) = peer_listener.accept().await.expect("a connection");
        exchange::serve(stream, move |_| difference.clone(), || {}).await;
    };
    let proxy = async {
        let (client, _) = proxy_listener.accept().await.expect("a connection");
        let peer = TcpStream::connect(peer_address).await.expect("a peer");
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_peer, mut to_peer) = peer.into_split();
        let request = async {
            let copied = tokio::io::copy(&mut from_client, &mut to_peer).await;
            copied.expect("a request");
            to_peer.shutdown().await.expect("an open connection");
        };
        let response = copy_slowly(&mut from_peer, &mut to_client, pause);
        tokio::join!(request, response).1
    };

    let (fetched, bytes, ()) = tokio::join!(exchange::fetch(proxy_address, 0), proxy, serve);

    (fetched.expect("an answer"), bytes)
}

/// Copies with a pause after each chunk until either end is closed. Returns the number of bytes copied.
async fn copy_slowly(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    pause: Duration,
) -> u64 {
    let (mut chunk, mut copied) = ([0; CHUNK], 0);
    loop {
        let read = from.read(&mut chunk).await.expect("an open connection");
        if read == 0 || to.write_all(&chunk[..read]).await.is_err() {
            return copied;
        }
        copied += read as u64;
        sleep(pause).await;
    }
}

fn difference(changes: Vec<Change>) -> Difference {
    Difference {
        known: Known {
            position: Position {
                revision: 9,
                operators: 9,
            },
            age_ms: Some(3),
            rebuild_age_ms: None,
        },
        changes,
        whole: false,
    }
}

#[tokio::test]
async fn a_fetch_returns_the_peers_difference_unchanged() {
    let sent = difference(vec![config(5, 3), server("i-1", 7), removed("i-2", 9)]);

    let (fetched, _) = fetch(sent.clone(), Duration::ZERO).await;

    assert_eq!(fetched, sent);
}

/// Operators add 1,400 routes, and each balancer passes them on to three others over a link of 10 Mbit/s.
/// Callers' packets are queued behind these transfers. If they take longer than the callers'
/// retransmission delay, callers retransmit and live servers are suspected. As JSON, they took 380 ms.
#[tokio::test]
async fn passing_on_a_large_configuration_takes_less_than_the_retransmission_delay() {
    let sent = difference(vec![config(5, 1_400)]);

    let (_, bytes) = fetch(sent, Duration::ZERO).await;

    assert!(FANOUT * bytes <= MAX_BYTES, "{bytes} bytes each");
}

/// The same over a link with little bandwidth left. A slow transfer must complete: with a timeout of half
/// a second, transfers were aborted and restarted over and over and saturated the link (713 times
/// `event=fetch-failed`), and the new routes came into force on no balancer within their bound.
#[tokio::test]
async fn a_large_configuration_is_fetched_over_a_slow_link() {
    let sent = difference(vec![config(5, 1_400)]);

    let (fetched, _) = fetch(sent.clone(), PAUSE).await;

    assert_eq!(fetched, sent);
}

/// A peer closes the connection right after its answer. An answer that has arrived must not be discarded
/// because the connection is closed at the same moment.
#[tokio::test]
async fn an_answer_is_kept_if_the_connection_closes_right_after_it() {
    const FETCHES: usize = 200;
    let (listener, address) = listener().await;
    let sent = difference(vec![config(5, 3)]);
    let answered = sent.clone();
    let serve = async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            let answer = answered.clone();
            let idle = Notify::new();
            tokio::select! {
                () = exchange::serve(stream, move |_| answer.clone(), || idle.notify_one()) => {}
                () = idle.notified() => {}
            }
        }
    };
    let fetch = async {
        let mut fetched = 0;
        for _ in 0..FETCHES {
            fetched += usize::from(exchange::fetch(address, 0).await.is_ok());
        }
        fetched
    };

    let fetched = tokio::select! {
        fetched = fetch => fetched,
        never = serve => never,
    };

    assert_eq!(fetched, FETCHES);
}
