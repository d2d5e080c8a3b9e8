//! Balancers that start while the store's replicas are of different ages.

use std::time::Duration;

use acacia_soak::fleet::Fleet;
use nix::sys::signal::Signal;
use tokio::time::{sleep, timeout};

const WORK: Duration = Duration::from_millis(1);
/// The balancer that restarts.
const RESTARTED: u8 = 0;
/// A server in the data centre of that balancer, whose entry isn't on the first page.
const DRAINING: u8 = 0;
/// Time within which a change is in force.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Stops the balancer by SIGTERM and starts it again.
async fn restart(fleet: &mut Fleet) {
    fleet.signal(RESTARTED, Signal::SIGTERM).expect("a signal");
    while fleet.is_running(RESTARTED) {
        sleep(Duration::from_millis(20)).await;
    }
    fleet.launch(RESTARTED).expect("a balancer that starts");
    let ready = async {
        while !fleet.log(RESTARTED).contains("event=ready") {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let ready = timeout(Duration::from_secs(10), ready).await;
    ready.expect("a balancer that is ready");
}

/// Guards against a balancer that, restarted in a release, gives a draining server new flows, as a later page
/// of its first read was older than the first one.
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_restarted_in_a_release_learns_which_servers_drain() {
    let mut fleet = Fleet::start(3, 3, WORK).await.expect("a deployment");
    fleet.store.set_page_size(1);
    fleet.store.freeze_replica_of_further_pages();
    fleet.set_state(DRAINING, "draining");
    fleet.configure(&[0, 1]);
    restart(&mut fleet).await;
    sleep(IN_FORCE).await;
    let _ = fleet.servers[&DRAINING].host.take_seen();

    for number in 0..8 {
        let mut caller = fleet.caller(number, 0).await.expect("a free address");
        caller.set_balancers(vec![fleet.traffic(RESTARTED)]);
        for _ in 0..4 {
            caller.open().await.expect("an open flow");
        }
    }

    let seen = fleet.servers[&DRAINING].host.take_seen();
    assert_eq!(seen.opened, 0, "{}", fleet.log(RESTARTED));
}
