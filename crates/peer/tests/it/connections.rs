//! Connections that are silent, are cut off in the middle of a frame, or are closed at once.

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

/// How long the first message of a peer may take while other hosts open silent connections.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
const SILENT_CONNECTIONS: usize = 512;

fn open(net: u8, id: u8) -> (Mesh<String>, Receiver<Received<String>>) {
    let settings = Settings::new(id.into(), address(net, id), 1);
    Mesh::open(settings, Secret::new(&[7; 32], None)).expect("opens")
}

/// A listener whose connections buffer only a few KB that aren't read yet, so that a sender can't
/// hand over a long frame as a whole.
fn listener_with_small_buffer(address: SocketAddr) -> TcpListener {
    const RECEIVE_BUFFER: usize = 8 << 10;
    // The sender's kernel chooses the size of its send buffer by the segment size.
    const MAX_SEGMENT: u32 = 536;
    const BACKLOG: i32 = 8;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("a socket");
    socket.set_tcp_mss(MAX_SEGMENT).expect("a socket");
    socket.bind(&address.into()).expect("a free port");
    socket.listen(BACKLOG).expect("listens");
    socket.into()
}

fn address(net: u8, id: u8) -> SocketAddr {
    SocketAddr::from(([127, 11, net, id], 47_300))
}

/// A connection ends in the middle of a long frame. The frame must arrive over the next connection,
/// and only once, although the receiver accepts no long frame before the first valid one.
#[test]
fn a_long_frame_that_was_cut_off_arrives_over_the_next_connection() {
    let ((one, _), (two, inbox)) = (open(2, 1), open(2, 2));
    let listener = listener_with_small_buffer(address(2, 3));
    let text = "x".repeat(1 << 20);
    let forwarder = thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        first
            .read_exact(&mut [0; 100_000])
            .expect("a part of the frame");
        drop(first);
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
    forwarder.join().expect("no panic").expect("forwarded");
    assert!(inbox.try_recv().is_err(), "the frame arrived twice");
    two.close();
}

/// A peer at its limit of connections accepts new ones and closes them at once. If all others
/// dialled it again without a delay, it would have to handle hundreds of connections a second as
/// well.
#[test]
fn a_peer_that_closes_connections_at_once_is_dialled_less_and_less_often() {
    /// Most attempts in 10 s if the delay doubles from 100 ms to 2 s and up to half of it is
    /// jitter.
    const MAX_CONNECTIONS: usize = 20;
    let listener = TcpListener::bind(address(3, 2)).expect("a free port");
    listener.set_nonblocking(true).expect("a socket");
    let (one, _) = open(3, 1);
    one.set_peers(&[(2, address(3, 2))]);

    let end = Instant::now() + Duration::from_secs(10);
    let mut connections = 0;
    while Instant::now() < end {
        connections += usize::from(listener.accept().is_ok());
        sleep(Duration::from_millis(5));
    }

    assert!(
        (4..=MAX_CONNECTIONS).contains(&connections),
        "{connections} connections"
    );
    one.close();
}

/// Guards against silent connections that use up the listener's limit, so that no peer can connect.
#[test]
fn a_peer_is_heard_while_others_hold_silent_connections() {
    let (one, inbox) = open(1, 1);
    let silent: Vec<_> = (0..SILENT_CONNECTIONS)
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

        let heard = inbox
            .recv_timeout(FIRST_MESSAGE_TIMEOUT * 8)
            .map(|_| start.elapsed());

        stop.store(true, Ordering::Relaxed);
        heard
    });
    assert!(
        heard.is_ok_and(|after| after <= FIRST_MESSAGE_TIMEOUT),
        "{heard:?}"
    );
    let counted = one.stats().connections;
    assert!(counted.displaced > 0, "{counted:?}");
    drop(silent);
    one.close();
}
