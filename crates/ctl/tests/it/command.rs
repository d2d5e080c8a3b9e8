use acacia_code::Code;
use acacia_config::{State, parse, print};
use serde_json::json;

use crate::fixture::{Environment, config};

#[tokio::test]
async fn a_change_is_planned_applied_and_listed() {
    let env = Environment::new(0).await;
    let file = env.file("one.ini", &config(70));
    let file = file.display();
    let plan = env.ctl(&format!("plan {file}")).await;
    let applied = env.ctl(&format!("apply {file}")).await;
    let again = env.ctl(&format!("apply {file}")).await;
    let printed = env.ctl("print").await;
    let history = env.ctl("history --json").await;
    assert!(plan.text.contains("add service live") && plan.text.contains("+share = 70%"));
    assert_eq!(
        applied.data,
        json!({ "outcome": "accepted", "revision": 1 })
    );
    assert_eq!(again.data, json!({ "outcome": "unchanged", "revision": 1 }));
    assert_eq!(parse(&printed.text), Ok(config(70)));
    assert_eq!(history.data[0]["author"], "aino");
    assert_eq!(history.data.as_array().map(Vec::len), Some(1));
    env.shut_down().await;
}

/// Two operators review their changes against revision 1. Guards against the second overwriting the
/// change of the first without having seen it.
#[tokio::test]
async fn a_conflicting_change_is_refused_with_the_difference() {
    let env = Environment::new(0).await;
    let path = |share: u8| {
        env.file(&share.to_string(), &config(share))
            .display()
            .to_string()
    };
    env.ctl(&format!("apply {}", path(50))).await;
    let first = env.ctl(&format!("apply --over 1 {}", path(60))).await;
    let second = env.ctl(&format!("apply --over 1 {}", path(70))).await;
    assert_eq!(first.code, Code::Success);
    assert_eq!(second.code, Code::ApplyConflict);
    assert!(
        second.text.contains("-share = 60%\n+share = 70%"),
        "{}",
        second.text
    );
    assert_eq!(env.stored().await.text, print(&config(60)).into());
    env.shut_down().await;
}

/// The store makes the change, but its answer is lost.
#[tokio::test]
async fn a_write_with_a_lost_answer_is_reported_as_accepted() {
    let env = Environment::new(0).await;
    env.stand.change_faults(|faults| faults.lose_writes = 1);
    let report = env
        .ctl(&format!("apply {}", env.file("one", &config(70)).display()))
        .await;
    assert_eq!(report.data["outcome"], "accepted");
    assert_eq!(env.stand.counts().swap, 1);
    env.shut_down().await;
}

#[tokio::test]
async fn servers_are_drained_and_undrained() {
    let env = Environment::new(0).await;
    env.ctl(&format!("apply {}", env.file("one", &config(70)).display()))
        .await;
    let drained = env.ctl("drain live-1 live-2 --deadline 60").await;
    let during = env.stored().await.config().expect("a configuration");
    let undrained = env.ctl("undrain live-1").await;
    let after = env.stored().await.config().expect("a configuration");
    let unknown = env.ctl("drain nobody").await;
    let deadline = Some(1_800_000_060);
    assert_eq!(
        (drained.code, undrained.code),
        (Code::Success, Code::Success)
    );
    assert!(
        during
            .servers()
            .iter()
            .all(|s| s.state == State::Drain { deadline })
    );
    assert_eq!(after.servers()[0].state, State::Active);
    assert_eq!(after.servers()[1].state, State::Drain { deadline });
    assert_eq!(unknown.code, Code::ServerUnknown);
    env.shut_down().await;
}

/// One balancer lags, another does not answer. Guards against a change being reported as in force
/// everywhere while it is not.
#[tokio::test]
async fn waiting_reports_lagging_and_silent_balancers() {
    let env = Environment::new(3).await;
    let file = env.file("one", &config(70)).display().to_string();
    env.ctl(&format!("apply {file}")).await;
    env.roll_out([0, 2]).await;
    let lagging = env.ctl(&format!("apply {file} --wait 0")).await;
    let unused = env.unused_address();
    let silent = env
        .ctl(&format!("apply {file} --wait 0 --balancer {unused}"))
        .await;
    env.roll_out([1]).await;
    let done = env.ctl(&format!("apply {file} --wait 0")).await;
    assert_eq!(lagging.code, Code::WaitTimeout);
    assert_eq!(
        lagging.data["balancers"]["lagging"],
        json!(["entry-1 (revision 0)"])
    );
    assert_eq!(silent.code, Code::WaitTimeout);
    assert_eq!(silent.data["balancers"]["silent"], json!([unused]));
    assert_eq!(done.code, Code::Success, "{}", done.text);
    assert_eq!(
        done.data["balancers"]["in_force"].as_array().map(Vec::len),
        Some(3)
    );
    env.shut_down().await;
}

#[tokio::test]
async fn status_finds_all_balancers_through_one() {
    let env = Environment::new(3).await;
    env.ctl(&format!("apply {}", env.file("one", &config(70)).display()))
        .await;
    env.roll_out([0, 1]).await;
    let status = env.ctl("status").await;
    assert_eq!(status.code, Code::Success);
    let lags: Vec<_> = (0..3).map(|at| &status.data[at]["lag"]).collect();
    let names = ["entry-0", "entry-1", "entry-2"];
    assert!(
        names.iter().all(|name| status.text.contains(name)),
        "{}",
        status.text
    );
    assert_eq!(lags.iter().filter(|lag| **lag == &json!(1)).count(), 1);
    assert_eq!(status.text.matches("hervanta:412:3.").count(), 3);
    assert_eq!(status.data[0]["status"]["evacuations"][0]["revision"], 412);
    env.shut_down().await;
}

/// The store is down. Operators still see what is in force, read from the balancers, and a change
/// fails with a code that says that nothing was written.
#[tokio::test]
async fn the_configuration_in_force_is_read_from_a_balancer_while_the_store_is_down() {
    let env = Environment::new(2).await;
    let file = env.file("one", &config(70)).display().to_string();
    env.ctl(&format!("apply {file}")).await;
    env.roll_out([1]).await;
    env.stand.change_faults(|faults| faults.down = true);
    let printed = env.ctl("print").await;
    let plan = env.ctl(&format!("plan {file}")).await;
    let applied = env.ctl(&format!("apply {file}")).await;
    assert_eq!(parse(&printed.text), Ok(config(70)));
    assert!(plan.text.starts_with("no change over revision 1"));
    assert!([Code::PlatformUnreachable, Code::PlatformTimeout].contains(&applied.code));
    env.shut_down().await;
}

/// The platform was restored from a backup without the last change, which the balancers have in
/// force. A drain on top of the backup would revert that change everywhere.
#[tokio::test]
async fn a_drain_after_the_store_was_restored_reverts_no_change() {
    let env = Environment::new(2).await;
    for share in [60, 70] {
        let file = env.file("some", &config(share)).display().to_string();
        env.ctl(&format!("apply {file}")).await;
    }
    env.roll_out([0, 1]).await;
    env.stand.restore();
    let behind = env.stored().await.revision;
    let drained = env.ctl("drain live-1").await;
    let stored = env.stored().await;
    let config = stored.config().expect("a configuration");
    assert_eq!((behind, stored.revision), (1, 3));
    assert_eq!(drained.code, Code::Success, "{}", drained.text);
    assert_eq!(config.services()[0].share, 70);
    assert_eq!(config.servers()[0].state, State::Drain { deadline: None });
    env.shut_down().await;
}

#[tokio::test]
async fn without_balancers_the_answer_of_the_platform_is_reported() {
    let env = Environment::new(0).await;
    let empty = env.ctl("print").await;
    env.stand.change_faults(|faults| faults.silent = true);
    let silent = env.ctl("print").await;
    assert_eq!(empty.code, Code::NothingInForce);
    assert_eq!(silent.code, Code::PlatformTimeout);
    env.shut_down().await;
}

#[tokio::test]
async fn a_file_with_problems_is_checked_and_never_applied() {
    let env = Environment::new(0).await;
    let file = env.file("bad", &config(0)).display().to_string();
    let checked = env.ctl(&format!("check {file}")).await;
    let applied = env.ctl(&format!("apply {file}")).await;
    let absent = env.ctl("check nowhere.ini").await;
    assert_eq!(
        (checked.code, applied.code),
        (Code::ConfigInvalid, Code::ConfigInvalid)
    );
    assert_eq!(checked.data[0]["key"], "share");
    assert_eq!(checked.code.exit_status(), 13);
    assert_eq!(absent.code, Code::ConfigUnreadable);
    assert_eq!(env.stand.counts().swap, 0);
    env.shut_down().await;
}

#[tokio::test]
async fn completions_are_generated_for_every_shell() {
    let env = Environment::new(0).await;
    for shell in ["bash", "zsh", "fish"] {
        let report = env.ctl(&format!("completions {shell}")).await;
        assert!(report.text.contains("undrain"), "{shell}");
    }
    env.shut_down().await;
}

/// One of three balancers does not answer. The report covers the flows of the others and names the
/// missing one.
#[tokio::test]
async fn burn_merges_the_ledgers_of_all_balancers_and_names_silent_ones() {
    let env = Environment::new(2).await;
    let file = env.file("one.ini", &config(70));
    env.ctl(&format!("apply {}", file.display())).await;
    let page = env.file("burn.html", &config(70));
    let unused = env.unused_address();
    let first = env.balancers[0].0;
    let second = env.balancers[1].0;
    let whole = format!("burn --balancer {first} --balancer {second}");
    let partly = format!("{whole} --balancer {unused} --html {}", page.display());

    let all = env.ctl(&whole).await;
    let one_silent = env.ctl(&partly).await;

    assert_eq!(all.code, Code::Success);
    assert_eq!(all.data["report"]["sources"], 2);
    let window = &all.data["report"]["rows"][0]["windows"][0];
    assert_eq!(
        (&window["count"]["good"], &window["failed"]),
        (&json!(198), &json!(2))
    );
    assert_eq!(one_silent.code, Code::BalancerUnreachable);
    assert_eq!(one_silent.data["silent"], json!([unused]));
    assert!(
        one_silent
            .text
            .contains(&format!("No answer came from {unused}"))
    );
    assert_eq!(
        one_silent.data["report"]["rows"],
        all.data["report"]["rows"]
    );
    let written = std::fs::read_to_string(page).expect("a page");
    assert!(
        written.contains("<html") && written.contains("live"),
        "{written}"
    );
    env.shut_down().await;
}
