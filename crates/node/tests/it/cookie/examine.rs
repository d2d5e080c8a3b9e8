use std::net::{SocketAddr, SocketAddrV4, TcpListener};

use acacia_cookie::silence::Finding;
use acacia_node::cookie::{
    core::{Examination, Target},
    examine,
};

fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    match listener.local_addr().expect("a bound socket") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

/// An address without a listener, where connections are refused.
fn refusing() -> SocketAddrV4 {
    listener().1
}

fn target(server: &str, address: SocketAddrV4) -> Target {
    Target {
        server: server.into(),
        address,
    }
}

#[tokio::test]
async fn a_server_that_accepts_connections_answers() {
    let (_listener, address) = listener();
    let examination = Examination {
        targets: vec![target("i-1", address)],
        silent: Vec::new(),
        control: None,
    };

    assert_eq!(
        examine::run(examination).await,
        [("i-1".into(), Finding::Answered)]
    );
}

/// Refused connections end all probes before the control is probed. The server must still be found
/// silent.
#[tokio::test]
async fn a_server_that_refuses_connections_is_silent_beside_one_that_accepts() {
    let (_listener, control) = listener();
    let examination = Examination {
        targets: vec![target("i-1", refusing())],
        silent: Vec::new(),
        control: Some(control),
    };

    assert_eq!(
        examine::run(examination).await,
        [("i-1".into(), Finding::Silent)]
    );
}

/// If the control doesn't answer either, the balancer itself may be cut off.
#[tokio::test]
async fn the_finding_is_unknown_if_the_control_does_not_answer() {
    for control in [Some(refusing()), None] {
        let examination = Examination {
            targets: vec![target("i-1", refusing())],
            silent: Vec::new(),
            control,
        };

        assert_eq!(
            examine::run(examination).await,
            [("i-1".into(), Finding::Unknown)]
        );
    }
}

/// A silent server is probed repeatedly, without a control. An unanswered probe must produce no
/// finding, and an answered one must report the server as answering.
#[tokio::test]
async fn a_silent_server_is_found_back_by_one_probe_without_a_control() {
    let (_listener, address) = listener();
    let examination = Examination {
        silent: vec![target("i-1", address), target("i-2", refusing())],
        ..Examination::default()
    };

    let findings = examine::run(examination).await;

    assert_eq!(findings, [("i-1".into(), Finding::Answered)]);
}
