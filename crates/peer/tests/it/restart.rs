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

/// Guards against a panic that brought down a whole group at one planned restart. When the first
/// frame of the restarted balancer arrived, each peer closed its previous connection, which had
/// already ended. That made the peer's receiving thread panic, and the peer shut down.
#[test]
fn a_restarted_peer_is_heard_and_does_not_crash_others() {
    let (_running, inbox) = open(1, 1);

    for incarnation in 1..=5 {
        let (restarted, _) = open(2, incarnation);
        restarted.set_peers(&[(1, address(1))]);
        restarted.send(1, Class::Heartbeat, &incarnation).unwrap();

        let received = inbox.recv_timeout(Duration::from_secs(20)).unwrap();
        assert_eq!(
            (received.envelope.incarnation, received.message),
            (incarnation, incarnation)
        );
        restarted.close();
    }
}
