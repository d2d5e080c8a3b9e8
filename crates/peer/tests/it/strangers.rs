//! Connections of strangers, and of peers that are gone.

use std::{
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use acacia_peer::{Class, Mesh, Received, Settings};
use acacia_wire::control::Secret;
use crossbeam_channel::Receiver;

/// How long the first message of a peer may take, whatever strangers do.
const FIRST: Duration = Duration::from_secs(2);
const STRANGERS: usize = 512;

fn open(net: u8, id: u8) -> (Mesh<String>, Receiver<Received<String>>) {
    let settings = Settings::new(id.into(), address(net, id), 1);
    Mesh::open(settings, Secret::new(&[7; 32], None)).expect("opens")
}

fn address(net: u8, id: u8) -> SocketAddr {
    SocketAddr::from(([127, 11, net, id], 47_300))
}

/// Connections that say nothing take all places, and no peer is heard any more.
#[test]
fn a_peer_is_heard_while_strangers_hold_connections() {
    let (one, inbox) = open(1, 1);
    let silent: Vec<_> = (0..STRANGERS)
        .map(|_| TcpStream::connect(address(1, 1)))
        .collect();
    let stop = AtomicBool::new(false);
    let heard = thread::scope(|scope| {
        scope.spawn(|| {
            let mut more = vec![];
            while !stop.load(Ordering::Relaxed) {
                more.push(TcpStream::connect(address(1, 1)));
                sleep(Duration::from_millis(5));
            }
        });
        sleep(Duration::from_millis(200));
        let (two, _) = open(1, 2);
        let start = Instant::now();
        two.set_peers(&[(1, address(1, 1))]);
        two.send(1, Class::Heartbeat, &"first".into())
            .expect("queued");

        let heard = inbox.recv_timeout(FIRST * 8).map(|_| start.elapsed());

        stop.store(true, Ordering::Relaxed);
        heard
    });
    assert!(heard.is_ok_and(|after| after <= FIRST), "{heard:?}");
    let counted = one.stats().connections;
    assert!(counted.displaced > 0, "{counted:?}");
    drop(silent);
    one.close();
}
