//! Connections of strangers, and of peers that are gone.

use std::{
    io::{self, Read as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use acacia_peer::{Class, Mesh, Received, Settings};
use acacia_wire::control::Secret;
use crossbeam_channel::Receiver;
use socket2::{Domain, Socket, Type};

/// How long the first message of a peer may take, whatever strangers do.
const FIRST: Duration = Duration::from_secs(2);
const STRANGERS: usize = 512;

fn open(net: u8, id: u8) -> (Mesh<String>, Receiver<Received<String>>) {
    let settings = Settings::new(id.into(), address(net, id), 1);
    Mesh::open(settings, Secret::new(&[7; 32], None)).expect("opens")
}

/// A listener whose connections take little before it is read: a long frame waits at its sender.
fn narrow(address: SocketAddr) -> TcpListener {
    const TAKEN: usize = 8 << 10;
    // By the size of a segment the sender's kernel decides how much it takes in advance.
    const SEGMENT: u32 = 536;
    const BACKLOG: i32 = 8;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(TAKEN).expect("a socket");
    socket.set_tcp_mss(SEGMENT).expect("a socket");
    socket.bind(&address.into()).expect("a free port");
    socket.listen(BACKLOG).expect("listens");
    socket.into()
}

fn address(net: u8, id: u8) -> SocketAddr {
    SocketAddr::from(([127, 11, net, id], 47_300))
}

/// A connection ends in the middle of a long frame. The frame comes over the next connection, once,
/// though a receiver takes no long frame before it knows the sender.
#[test]
fn a_long_frame_that_was_cut_off_comes_whole_over_the_next_connection() {
    let ((one, _), (two, inbox)) = (open(2, 1), open(2, 2));
    let listener = narrow(address(2, 3));
    let text = "x".repeat(1 << 20);
    let carried = thread::spawn(move || {
        let (mut cut, _) = listener.accept().expect("a connection");
        cut.read_exact(&mut [0; 100_000])
            .expect("a part of the frame");
        drop(cut);
        let (mut near, _) = listener.accept().expect("a second connection");
        let mut far = TcpStream::connect(address(2, 2)).expect("the peer");
        io::copy(&mut near, &mut far)
    });

    one.set_peers(&[(2, address(2, 3))]);
    one.send(2, Class::Urgent, &text).expect("queued");

    let received = inbox
        .recv_timeout(Duration::from_secs(20))
        .expect("arrives");
    assert!(received.message == text);
    one.close();
    carried.join().expect("no panic").expect("carried");
    assert!(inbox.try_recv().is_err(), "twice");
    two.close();
}

/// A peer is full: it accepts connections and closes them at once. Dialled again without a pause by all
/// others, it has to bear hundreds of connections a second besides.
#[test]
fn a_peer_that_closes_connections_at_once_is_dialled_ever_more_rarely() {
    /// Those of an attempt every 100 ms to 2 s, doubling, with half of each wait at random.
    const MOST: usize = 20;
    let listener = TcpListener::bind(address(3, 2)).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    let (one, _) = open(3, 1);
    one.set_peers(&[(2, address(3, 2))]);

    let end = Instant::now() + Duration::from_secs(10);
    let mut dialled = 0;
    while Instant::now() < end {
        dialled += usize::from(listener.accept().is_ok());
        sleep(Duration::from_millis(5));
    }

    assert!((4..=MOST).contains(&dialled), "{dialled} connections");
    one.close();
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
