//! Entries at servers' keys that another writer has written.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use acacia_adapter_stand::{caller::End, host};
use acacia_soak::fleet::Fleet;
use rstest::rstest;
use tokio::time::sleep;

const WORK: Duration = Duration::from_millis(1);
const DEADLINE: Duration = Duration::from_secs(3);
/// The server whose entry is overwritten.
const SERVER: u8 = 0;

/// An entry with all fields, of a service that no configuration names, with an address at which nothing listens.
fn unnamed() -> Vec<u8> {
    let nobody = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
    host::entry(nobody, "elsewhere", "a", "ready")
}

fn unreadable() -> Vec<u8> {
    b"{}".into()
}

/// Guards against resets of a living server's open flows while another writer's entry stands at its key.
#[rstest]
#[case::ready_and_unnamed("ready", unnamed())]
#[case::ready_and_unreadable("ready", unreadable())]
#[case::draining_and_unnamed("draining", unnamed())]
#[case::draining_and_unreadable("draining", unreadable())]
#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_entry_breaks_no_open_flow(#[case] state: &'static str, #[case] entry: Vec<u8>) {
    let mut fleet = Fleet::start(3, 1, WORK).await.expect("a deployment");
    let mut flows = Vec::new();
    for number in 0..8 {
        let mut caller = fleet.caller(number, 0).await.expect("a free address");
        let flow = caller.open().await.expect("an open flow");
        flows.push((caller, flow));
    }
    fleet.set_state(SERVER, state);
    sleep(Duration::from_millis(300)).await;

    let id = fleet.servers[&SERVER].id.clone();
    fleet.store.announce(&id, &entry);
    sleep(Duration::from_millis(300)).await;
    let mut ends = Vec::new();
    for (number, (caller, flow)) in flows.iter_mut().enumerate() {
        let request = format!("{number}-meanwhile");
        ends.push(caller.ask(flow, request.as_bytes(), DEADLINE).await);
    }

    assert_eq!(ends, [End::Answered; 8], "{}", fleet.logs());
}
