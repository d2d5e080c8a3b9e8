use std::{
    io::Write as _,
    net::UdpSocket,
    process::{Child, Command, Stdio},
    time::Duration,
};

use acacia_adapter_stand::caller::End;
use acacia_e2e::process::locate;
use acacia_soak::fleet::Fleet;

/// A process whose output is not read; killed when dropped.
struct Unread(Child);

impl Drop for Unread {
    fn drop(&mut self) {
        // This fails if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Nobody reads the log pipe while a flood of packets of unknown flows logs a line each, which fills
/// the pipe within a second. A balancer that blocks on writing the log would stop forwarding.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_log_pipe_does_not_stop_forwarding() {
    let mut fleet = Fleet::start(1, 2, Duration::from_millis(1))
        .await
        .expect("a deployment");
    fleet.kill(0);
    let mut child = Command::new(locate("acaciad").expect("a program"))
        .args(["--settings", "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a process");
    let mut stdin = child.stdin.take().expect("piped");
    stdin
        .write_all(fleet.settings(0).as_bytes())
        .expect("settings");
    drop(stdin);
    let _unread = Unread(child);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let flood = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    // A valid packet in the middle of an unknown flow, without a cookie.
    let mut packet = [0u8; 31];
    packet[0] = 32;
    for round in 0..200u32 {
        for number in 0..50u32 {
            packet[1..5].copy_from_slice(&(round * 50 + number).to_be_bytes());
            flood
                .send_to(&packet, fleet.traffic(0))
                .expect("a datagram");
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    let mut caller = fleet.caller(0, 0).await.expect("a free address");
    caller.set_balancers(vec![fleet.traffic(0)]);
    let mut flow = caller.open().await.expect("an open flow");
    for number in 0..200 {
        let request = format!("0-{number}");
        let end = caller
            .ask(&mut flow, request.as_bytes(), Duration::from_secs(2))
            .await;
        assert_eq!(end, End::Answered, "request {number}");
    }
}
