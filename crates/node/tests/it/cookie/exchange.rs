//! Differences as they are fetched from a peer, over real connections.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use acacia_catalog::Change;
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

/// Bytes that a slow link hands over at a time, and the pause after them: 240 kbit/s, a part of 2 Mbit/s
/// that is left beside others and callers.
const CHUNK: usize = 3_000;
const PAUSE: Duration = Duration::from_millis(100);

/// Fetches a difference over a connection that counts; gives what came in and the bytes that it took.
async fn fetch(difference: Difference, pause: Duration) -> (Difference, u64) {
    let (served, to) = listener().await;
    let (counted, at) = listener().await;
    let serve = async {
        let (stream, _) = served.accept().await.expect("a connection");
        exchange::serve(stream, move |_| difference.clone(), || {}).await;
    };
    let count = async {
        let (near, _) = counted.accept().await.expect("a connection");
        let far = TcpStream::connect(to).await.expect("a peer");
        let (mut from_near, mut to_near) = near.into_split();
        let (mut from_far, mut to_far) = far.into_split();
        let asked = async {
            let copied = tokio::io::copy(&mut from_near, &mut to_far).await;
            copied.expect("a question");
            to_far.shutdown().await.expect("an open connection");
        };
        let answered = copy_slowly(&mut from_far, &mut to_near, pause);
        tokio::join!(asked, answered).1
    };

    let (fetched, bytes, ()) = tokio::join!(exchange::fetch(at, 0), count, serve);

    (fetched.expect("an answer"), bytes)
}

/// Copies until the sender closes; gives the bytes.
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

    let (fetched, _) = fetch(sent.clone(), Duration::ZERO).await;

    assert_eq!(fetched, sent);
}

/// Operators add 1,400 routes. Each balancer passes them on to three others over a link of 10 Mbit/s,
/// and callers' packets wait behind that. What takes longer than callers wait for an answer makes
/// them send again and puts living servers under suspicion; as JSON it took 380 ms.
#[tokio::test]
async fn a_large_configuration_leaves_callers_packets_room_on_a_small_link() {
    let sent = difference(vec![config(5, 1_400)]);

    let (_, bytes) = fetch(sent, Duration::ZERO).await;

    assert!(BRANCHES * bytes <= UNNOTICED, "{bytes} bytes each");
}

/// The same over a link of which little is left. What comes slowly must come all the same: broken off
/// after half a second and begun anew, it filled the link for good (713 times `event=fetch-failed`), and
/// the new routes were in force nowhere within their bound.
#[tokio::test]
async fn a_large_configuration_comes_in_over_a_slow_link() {
    let sent = difference(vec![config(5, 1_400)]);

    let (fetched, _) = fetch(sent.clone(), PAUSE).await;

    assert_eq!(fetched, sent);
}

/// A peer ends just after it has answered. An answer that has come must not be given up because the
/// connection ends in the same moment.
#[tokio::test]
async fn an_answer_counts_though_the_connection_ends_with_it() {
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
