use std::net::SocketAddr;
use std::time::Duration;

use acacia_peer::{Class, Mesh, Settings};
use acacia_wire::control::Secret;

fn address(id: u8) -> SocketAddr {
    SocketAddr::from(([127, 9, 77, id], 47_300))
}

fn open(
    id: u8,
    incarnation: u64,
) -> (
    Mesh<u64>,
    crossbeam_channel::Receiver<acacia_peer::Received<u64>>,
) {
    let mut settings = Settings::new(id.into(), address(id), incarnation);
    settings.send_interval = Duration::from_millis(50);
    Mesh::open(settings, Secret::new(&[7; 32], None)).unwrap()
}

/// A balancer ends and starts again. Its old connection is closed by then; when its first frame
/// came over the new one, closing the old one once more made the receiving thread of every peer
/// panic, and each peer took itself down: one planned restart ended the whole group.
#[test]
fn a_peer_that_starts_again_is_heard_and_takes_nobody_down() {
    let (_stays, inbox) = open(1, 1);

    for incarnation in 1..=5 {
        let (restarts, _) = open(2, incarnation);
        restarts.set_peers(&[(1, address(1))]);
        restarts.send(1, Class::Heartbeat, &incarnation).unwrap();

        let received = inbox.recv_timeout(Duration::from_secs(20)).unwrap();
        assert_eq!(
            (received.envelope.incarnation, received.message),
            (incarnation, incarnation)
        );
        restarts.close();
    }
}
