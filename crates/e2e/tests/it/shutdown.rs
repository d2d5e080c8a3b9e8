use std::{thread::sleep, time::Duration};

use acacia_e2e::process::Process;
use nix::sys::signal::Signal;

use crate::fixture::{CALLER, assert_whole, checkins, drained, feeds};

/// Longest time that a program may take to end after a signal.
const ENDING: Duration = Duration::from_secs(20);

/// A balancer is told to end while the fabric, which learns of it late, goes on sending to it for
/// a second. It serves until nothing comes any more, hands over, and ends; callers notice nothing.
#[test]
fn a_balancer_told_to_end_serves_until_the_fabric_has_learnt_of_it() {
    let mut deployment = drained(3);
    let open = feeds(&deployment, 1, 24, 16);
    let requests = checkins(&deployment, 2, 8);
    sleep(Duration::from_secs(1));

    deployment.signal_balancer(2, Signal::SIGTERM).unwrap();
    sleep(Duration::from_secs(1));
    assert!(deployment.is_running(2), "it ended while packets came");
    deployment.spray_over(&[1, 3]).unwrap();
    let ended = deployment.wait_balancer(2).unwrap();

    assert_eq!(ended.status, 0, "{}", ended.log);
    assert_whole("check-ins", &requests.wait(CALLER).unwrap().output);
    let line = open.wait(CALLER).unwrap().output;
    assert_eq!(assert_whole("feeds", &line)["lasted"], 24);
}

/// An operator can't wait for a graceful shutdown and asks a second time. The balancer ends at once
/// and says by its exit status that the shutdown was not complete.
#[test]
fn a_second_signal_ends_a_balancer_at_once() {
    let mut deployment = drained(3);
    let requests = checkins(&deployment, 1, 3);
    sleep(Duration::from_secs(1));

    deployment.signal_balancer(2, Signal::SIGTERM).unwrap();
    sleep(Duration::from_millis(300));
    assert!(deployment.is_running(2), "the first signal ended it");
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

/// Somebody misspells and forgets keys in a balancer's settings. Checked before the roll-out, all
/// of it is listed at once, and the exit status stops the script.
#[test]
fn a_check_of_broken_settings_lists_every_problem() {
    let broken = "[balancer]\nid = seven\ndata_centre = hervanta\nadvertise = here\n\
                  [traffic]\nlisten = 127.0.0.1:6080\nthread = 2\n\
                  [peer.x]\ncontrol = 127.0.0.2:6081\n";
    let arguments = ["--settings", "-", "--check"].map(str::to_owned);

    let process = Process::start("acaciad", &arguments, broken).unwrap();
    let ended = process.wait(ENDING).unwrap();

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
