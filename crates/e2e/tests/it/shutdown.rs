use std::{thread::sleep, time::Duration};

use acacia_e2e::process::Process;
use nix::sys::signal::Signal;

use crate::fixture::{CALLER, assert_whole, checkins, drained, feeds};

/// Time limit for a program to exit.
const EXIT_LIMIT: Duration = Duration::from_secs(20);

/// A balancer is shut down while the fabric keeps sending to it for another second. It must serve
/// until no more packets arrive, hand over its flows and exit, without breaking a flow.
#[test]
fn a_balancer_told_to_end_serves_until_the_fabric_has_learnt_of_it() {
    let mut deployment = drained(3);
    let open = feeds(&deployment, 1, 24, 16);
    let requests = checkins(&deployment, 2, 8);
    sleep(Duration::from_secs(1));

    deployment.signal_balancer(2, Signal::SIGTERM).unwrap();
    sleep(Duration::from_secs(1));
    assert!(
        deployment.is_running(2),
        "exited while packets were arriving"
    );
    deployment.spray_over(&[1, 3]).unwrap();
    let ended = deployment.wait_balancer(2).unwrap();

    assert_eq!(ended.status, 0, "{}", ended.log);
    assert_whole("check-ins", &requests.wait(CALLER).unwrap().output);
    let line = open.wait(CALLER).unwrap().output;
    assert_eq!(assert_whole("feeds", &line)["lasted"], 24);
}

/// An operator sends a second signal during a graceful shutdown. The balancer must exit at once, with
/// an exit status that tells that the shutdown was incomplete.
#[test]
fn a_second_signal_ends_a_balancer_at_once() {
    let mut deployment = drained(3);
    let requests = checkins(&deployment, 1, 3);
    sleep(Duration::from_secs(1));

    deployment.signal_balancer(2, Signal::SIGTERM).unwrap();
    sleep(Duration::from_millis(300));
    assert!(deployment.is_running(2), "exited at the first signal");
    deployment.signal_balancer(2, Signal::SIGTERM).unwrap();
    let ended = deployment.wait_balancer(2).unwrap();
    deployment.spray_over(&[1, 3]).unwrap();

    assert_eq!(ended.status, 52, "{}", ended.log);
    assert!(
        ended.log.contains("event=forced code=forced(52)"),
        "{}",
        ended.log
    );
    assert_whole("check-ins", &requests.wait(CALLER).unwrap().output);
}

/// A balancer's settings have misspelt and missing keys. A check before the roll-out must list all
/// problems at once and fail, so that the roll-out script stops.
#[test]
fn a_check_of_broken_settings_lists_every_problem() {
    let broken = "[balancer]\nid = seven\ndata_centre = hervanta\nadvertise = here\n\
                  [traffic]\nlisten = 127.0.0.1:6080\nthread = 2\n\
                  [peer.x]\ncontrol = 127.0.0.2:6081\n";
    let arguments = ["--settings", "-", "--check"].map(str::to_owned);

    let process = Process::start("acaciad", &arguments, broken).unwrap();
    let ended = process.wait(EXIT_LIMIT).unwrap();

    assert_eq!(ended.status, 11, "{}", ended.log);
    let expected = [
        "[balancer] id: found seven",
        "[balancer] advertise: found here, expected an IPv4 address",
        "[traffic] thread: found 2, expected no such key",
        "[traffic] gateway: found nothing",
        "[control] listen: found nothing",
        "[control] key: found nothing",
        "[admin] listen: found nothing",
        "[platform] address: found nothing",
        "[peer.x] data_centre: found nothing",
    ];
    for problem in expected {
        assert!(ended.log.contains(problem), "{problem} in {}", ended.log);
    }
}
