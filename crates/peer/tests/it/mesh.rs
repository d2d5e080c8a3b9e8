use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use acacia_code::Code;
use acacia_peer::{Class, Error, Mesh, Payload, Received, Settings};
use acacia_wire::control::{Envelope, MAX_FRAME, Secret, seal};
use crossbeam_channel::Receiver;

use crate::relay::Relay;

type OpenMesh = (Mesh<String>, Receiver<Received<String>>);

fn secret() -> Secret {
    Secret::new(&[7; 32], None)
}

fn address(net: u8, id: u8) -> SocketAddr {
    SocketAddr::from(([127, 9, net, id], 47_300))
}

/// Opens a mesh with a tenth of the default send interval. Each test uses a loopback network `net`
/// of its own.
fn open(net: u8, id: u8) -> OpenMesh {
    let mut settings = Settings::new(id.into(), address(net, id), 1);
    settings.send_interval = Duration::from_millis(50);
    Mesh::open(settings, secret()).expect("opens")
}

/// Waits until `holds` returns true, for much longer than that takes on a busy machine.
fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        sleep(Duration::from_millis(10));
    }
}

/// A NAT or firewall between two balancers loses the state of their open connection. The connection
/// carries no data any more and neither end closes it, so the two would take each other for dead
/// although a new connection would work at once.
#[test]
fn a_silent_connection_is_replaced_and_the_old_one_closed() {
    let ((one, _), (two, inbox)) = (open(1, 1), open(1, 2));
    let relay = Relay::start(address(1, 3), address(1, 2));
    one.set_peers(&[(2, relay.address)]);
    two.set_peers(&[(1, address(1, 1))]);
    one.send(2, Class::Heartbeat, &"before".into())
        .expect("queued");
    assert_eq!(inbox.recv().expect("arrives").message, "before");

    relay.silence();

    eventually("a message arrives again", || {
        one.send(2, Class::Heartbeat, &"after".into())
            .expect("queued");
        inbox
            .try_recv()
            .is_ok_and(|received| received.message == "after")
    });
    assert!(one.stats().peers[&2].redials >= 1);
    eventually("only the new connection is open", || relay.open() == 1);
    one.close();
    two.close();
}

#[test]
fn invalid_frames_are_counted_and_dropped() {
    let (mesh, inbox) = open(2, 1);
    let mut stream = TcpStream::connect(address(2, 1)).expect("connects");
    let envelope = |sequence| Envelope {
        sender: 2,
        incarnation: 1,
        sequence,
    };
    let payload = |to, body: &[u8]| Payload {
        to,
        echo: None,
        body: Some(body.to_vec()),
    };
    let text = postcard::to_allocvec("text").expect("encodes");
    let good = seal(&envelope(5), &payload(1, &text), &secret());
    let other = Secret::new(&[8; 32], None);
    let frames = [
        good.clone(),
        good.clone(),
        seal(&envelope(4), &payload(1, &text), &secret()),
        seal(&envelope(6), &payload(9, &text), &secret()),
        seal(&envelope(7), &payload(1, &[200]), &secret()),
        seal(&envelope(8), &7u8, &secret()),
        seal(&envelope(9), &payload(1, &text), &other),
        good[..20].to_vec(),
        vec![0; MAX_FRAME + 1],
    ];

    for frame in &frames {
        let length = frame.len() as u64;
        stream.write_all(&length.to_be_bytes()).expect("sent");
        stream.write_all(frame).expect("sent");
    }

    eventually("all are refused", || {
        mesh.stats().refused.values().sum::<u64>() == 8
    });
    let refused: Vec<(Code, u64)> = mesh.stats().refused.into_iter().collect();
    assert_eq!(
        refused,
        [
            (Code::ControlTruncated, 1),
            (Code::ControlOversized, 1),
            (Code::ControlForged, 1),
            (Code::ControlUndecodable, 2),
            (Code::ControlReplayed, 2),
            (Code::ControlMisaddressed, 1),
        ]
    );
    assert_eq!(
        inbox.try_iter().count(),
        1,
        "only the valid frame is delivered"
    );
}

#[test]
fn a_configuration_of_a_megabyte_arrives_and_is_counted() {
    let ((one, _), (two, inbox)) = (open(3, 1), open(3, 2));
    one.set_peers(&[(2, address(3, 2))]);
    two.set_peers(&[(1, address(3, 1))]);
    let large = "x".repeat(1 << 20);

    one.send(2, Class::Urgent, &large).expect("queued");

    let received = inbox.recv().expect("arrives");
    assert!(received.message == large);
    assert_eq!(received.envelope.sender, 1);
    eventually("both count it", || {
        let bytes = two.stats().peers[&1].received_bytes;
        bytes > 1 << 20 && one.stats().peers[&2].sent_bytes >= bytes
    });
}

/// A peer's VM is gone and packets to it are lost. Sending to it must neither block nor use more
/// and more memory.
#[test]
fn sending_to_a_dead_peer_drops_and_counts() {
    let (mesh, _) = open(4, 1);
    mesh.set_peers(&[(2, address(4, 2))]);
    let text = "text".to_string();

    let refused = (0..500)
        .filter(|_| mesh.send(2, Class::Bulk, &text).is_err())
        .count();

    assert!((200..=244).contains(&refused), "{refused}");
    assert_eq!(mesh.stats().peers[&2].dropped, refused as u64);
    assert_eq!(mesh.send(3, Class::Bulk, &text), Err(Error::UnknownPeer(3)));
    assert_eq!(
        mesh.send(2, Class::Urgent, &"x".repeat(3 << 20)),
        Err(Error::QueueFull(2))
    );
}

#[test]
fn a_closed_mesh_frees_its_port() {
    open(5, 1).0.close();

    let taken = open(5, 1);

    let settings = Settings::new(1, address(5, 1), 1);
    let error = Mesh::<String>::open(settings, secret())
        .err()
        .expect("the port is taken");
    assert_eq!(error.code(), Code::SocketFailed);
    drop(taken);
}

#[test]
fn both_keys_are_valid_during_a_change_and_a_new_incarnation_is_accepted() {
    let ((one, _), (two, inbox)) = (open(6, 1), open(6, 2));
    one.set_peers(&[(2, address(6, 2))]);
    let next = || {
        inbox
            .recv_timeout(Duration::from_secs(20))
            .expect("arrives")
    };
    two.set_secret(Secret::new(&[8; 32], Some(&[7; 32])));

    one.send(2, Class::Urgent, &"old key".into())
        .expect("queued");
    assert_eq!(next().message, "old key");
    one.set_secret(Secret::new(&[8; 32], None));
    one.set_incarnation(2);
    one.send(2, Class::Urgent, &"new key".into())
        .expect("queued");

    let received = next();
    assert_eq!(
        (received.envelope.incarnation, &*received.message),
        (2, "new key")
    );
}

/// A suspended balancer resumes and joins again while messages from before are still queued. Sent
/// under its new incarnation, they would count as current.
#[test]
fn messages_queued_under_one_incarnation_are_not_sent_under_the_next() {
    let (one, _) = open(7, 1);
    one.set_peers(&[(2, address(7, 2))]);
    for _ in 0..3 {
        one.send(2, Class::Urgent, &"old".into()).expect("queued");
    }

    one.set_incarnation(2);
    one.send(2, Class::Urgent, &"new".into()).expect("queued");

    let (_two, inbox) = open(7, 2);
    let summary =
        |received: &Received<String>| (received.envelope.incarnation, received.message.clone());
    let mut received_messages = vec![];
    while !received_messages.contains(&(2, "new".to_string())) {
        let received = inbox
            .recv_timeout(Duration::from_secs(20))
            .expect("arrives");
        received_messages.push(summary(&received));
    }
    assert!(
        !received_messages.contains(&(2, "old".to_string())),
        "{received_messages:?}"
    );
}

/// Guards against a crash of the process at the next send after a connection has ended while
/// messages were being sent over it.
#[test]
fn peers_that_come_and_go_do_not_crash_the_sender() {
    const ROUNDS: u64 = 150;
    let (one, _inbox) = open(9, 1);
    let peers: Vec<_> = (2..=6).map(|id| (u16::from(id), address(9, id))).collect();
    one.set_peers(&peers);

    for round in 0..ROUNDS {
        let others: Vec<OpenMesh> = (2..=6).map(|id| open(9, id)).collect();
        for number in 0..400 {
            for (id, _) in &peers {
                // A full queue is not an error here: the peer may not have been dialled again yet.
                let _ = one.send(*id, Class::Heartbeat, &format!("{round} {number}"));
            }
            if number % 40 == 0 {
                sleep(Duration::from_millis(1));
            }
        }
        others.into_iter().for_each(|(mesh, _)| mesh.close());
    }

    let (two, inbox) = open(9, 2);
    eventually("a message arrives again", || {
        let _ = one.send(2, Class::Heartbeat, &"after".into());
        inbox.try_iter().any(|received| received.message == "after")
    });
    one.close();
    two.close();
}
