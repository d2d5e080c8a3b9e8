use std::time::Duration;

use acacia_adapter_stand::caller::End;
use acacia_e2e::process::Process;
use acacia_soak::fleet::Fleet;

/// Time limit for a command.
const COMMAND_LIMIT: Duration = Duration::from_secs(10);

/// Runs `acaciactl` against balancer 0 and returns its exit status and output.
fn ctl(fleet: &Fleet, arguments: &[&str]) -> (i32, String) {
    let mut all = vec!["--balancer".to_owned(), fleet.admin(0).to_string()];
    all.extend(arguments.iter().map(|argument| (*argument).to_owned()));
    let process = Process::start("acaciactl", &all, "").expect("acaciactl is built");
    let ended = process
        .wait(COMMAND_LIMIT)
        .expect("acaciactl exits in time");
    (ended.status, ended.log)
}

/// The status from one balancer must include all balancers.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_sees_all_balancers_through_one() {
    let fleet = Fleet::start(3, 2, Duration::from_millis(5))
        .await
        .expect("a deployment");
    tokio::time::sleep(Duration::from_secs(2)).await;

    let (status, text) = ctl(&fleet, &["status"]);

    assert_eq!(status, 0, "{text}");
    let serving = text.lines().filter(|line| line.contains("serving"));
    assert_eq!(serving.count(), 3, "{text}");
}

/// A server goes silent and its flows are ended. The error budget report must count them as broken in
/// addition to the openings that succeeded.
#[tokio::test(flavor = "multi_thread")]
async fn the_burn_report_counts_flows_that_were_ended() {
    let mut fleet = Fleet::start(1, 2, Duration::from_millis(5))
        .await
        .expect("a deployment");
    let mut caller = fleet.caller(0, 0).await.expect("a free address");
    let mut ended = 0;
    let mut flows = Vec::new();
    for request in 0..8 {
        let mut flow = caller.open().await.expect("an open flow");
        let request = format!("0-{request}");
        let end = caller
            .ask(&mut flow, request.as_bytes(), Duration::from_secs(3))
            .await;
        assert_eq!(end, End::Answered);
        flows.push(flow);
    }
    let lost = fleet.lose_server_in_use().expect("a server with a flow");
    for (number, flow) in flows.iter_mut().enumerate() {
        let request = format!("0-again-{number}");
        let end = caller
            .ask(flow, request.as_bytes(), Duration::from_secs(3))
            .await;
        ended += u32::from(end != End::Answered);
    }

    let (status, text) = ctl(&fleet, &["--json", "burn"]);

    assert_eq!(status, 0, "{text}");
    assert!(ended > 0, "no flow was on {lost}");
    let counts = format!("\"broken\":{ended},\"good\":8,\"refused\":0");
    assert!(text.contains(&counts), "{counts} in {text}");
}
