use acacia_code::Code;
use acacia_config::{State, parse, print};
use serde_json::json;

use crate::fixture::{Site, config};

#[tokio::test]
async fn a_change_is_planned_applied_and_listed() {
    let site = Site::new(0).await;
    let file = site.file("one.ini", &config(70));
    let file = file.display();
    let plan = site.ctl(&format!("plan {file}")).await;
    let applied = site.ctl(&format!("apply {file}")).await;
    let again = site.ctl(&format!("apply {file}")).await;
    let printed = site.ctl("print").await;
    let history = site.ctl("history --json").await;
    assert!(plan.text.contains("add service live") && plan.text.contains("+share = 70%"));
    assert_eq!(
        applied.data,
        json!({ "outcome": "accepted", "revision": 1 })
    );
    assert_eq!(again.data, json!({ "outcome": "unchanged", "revision": 1 }));
    assert_eq!(parse(&printed.text), Ok(config(70)));
    assert_eq!(history.data[0]["author"], "aino");
    assert_eq!(history.data.as_array().map(Vec::len), Some(1));
    site.end().await;
}

/// Two operators review against revision 1. The second must not overwrite the first's change
/// unseen, and has to see what it would have overwritten.
#[tokio::test]
async fn the_second_of_two_operators_is_shown_the_difference() {
    let site = Site::new(0).await;
    let path = |share: u8| {
        site.file(&share.to_string(), &config(share))
            .display()
            .to_string()
    };
    site.ctl(&format!("apply {}", path(50))).await;
    let first = site.ctl(&format!("apply --over 1 {}", path(60))).await;
    let second = site.ctl(&format!("apply --over 1 {}", path(70))).await;
    assert_eq!(first.code, Code::Success);
    assert_eq!(second.code, Code::ApplyConflict);
    assert!(
        second.text.contains("-share = 60%\n+share = 70%"),
        "{}",
        second.text
    );
    assert_eq!(site.stored().await.text, print(&config(60)).into());
    site.end().await;
}

/// The store applies the change and loses its answer; the operator must hear "accepted".
#[tokio::test]
async fn a_lost_answer_is_reported_as_accepted() {
    let site = Site::new(0).await;
    site.stand.change_faults(|faults| faults.lose_writes = 1);
    let report = site
        .ctl(&format!(
            "apply {}",
            site.file("one", &config(70)).display()
        ))
        .await;
    assert_eq!(report.data["outcome"], "accepted");
    assert_eq!(site.stand.counts().swap, 1);
    site.end().await;
}

#[tokio::test]
async fn servers_are_drained_and_undrained() {
    let site = Site::new(0).await;
    site.ctl(&format!(
        "apply {}",
        site.file("one", &config(70)).display()
    ))
    .await;
    let drained = site.ctl("drain live-1 live-2 --deadline 60").await;
    let during = site.stored().await.config().expect("a configuration");
    let undrained = site.ctl("undrain live-1").await;
    let after = site.stored().await.config().expect("a configuration");
    let unknown = site.ctl("drain nobody").await;
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
    site.end().await;
}

/// One balancer lags, another has died. Whoever waits must get their names and no all-clear.
#[tokio::test]
async fn waiting_names_whom_nobody_can_vouch_for() {
    let site = Site::new(3).await;
    let file = site.file("one", &config(70)).display().to_string();
    site.ctl(&format!("apply {file}")).await;
    site.roll_out([0, 2]).await;
    let lagging = site.ctl(&format!("apply {file} --wait 0")).await;
    let gone = site.gone();
    let silent = site
        .ctl(&format!("apply {file} --wait 0 --balancer {gone}"))
        .await;
    site.roll_out([1]).await;
    let done = site.ctl(&format!("apply {file} --wait 0")).await;
    assert_eq!(lagging.code, Code::WaitTimeout);
    assert_eq!(
        lagging.data["balancers"]["lagging"],
        json!(["entry-1 (revision 0)"])
    );
    assert_eq!(silent.code, Code::WaitTimeout);
    assert_eq!(silent.data["balancers"]["silent"], json!([gone]));
    assert_eq!(done.code, Code::Success, "{}", done.text);
    assert_eq!(
        done.data["balancers"]["in_force"].as_array().map(Vec::len),
        Some(3)
    );
    site.end().await;
}

#[tokio::test]
async fn status_finds_all_balancers_through_one() {
    let site = Site::new(3).await;
    site.ctl(&format!(
        "apply {}",
        site.file("one", &config(70)).display()
    ))
    .await;
    site.roll_out([0, 1]).await;
    let status = site.ctl("status").await;
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
    site.end().await;
}

/// The store is down: operators still see what is in force, from the balancers, and a change is
/// refused with nothing in doubt.
#[tokio::test]
async fn with_the_store_down_the_balancers_tell_what_is_in_force() {
    let site = Site::new(2).await;
    let file = site.file("one", &config(70)).display().to_string();
    site.ctl(&format!("apply {file}")).await;
    site.roll_out([1]).await;
    site.stand.change_faults(|faults| faults.down = true);
    let printed = site.ctl("print").await;
    let plan = site.ctl(&format!("plan {file}")).await;
    let applied = site.ctl(&format!("apply {file}")).await;
    assert_eq!(parse(&printed.text), Ok(config(70)));
    assert!(plan.text.starts_with("no change over revision 1"));
    assert!([Code::PlatformUnreachable, Code::PlatformTimeout].contains(&applied.code));
    site.end().await;
}

/// The platform was restored from a backup and has forgotten the last change, which the balancers
/// have in force. A drain made upon the backup would revert that change everywhere.
#[tokio::test]
async fn a_drain_over_a_restored_store_reverts_nothing() {
    let site = Site::new(2).await;
    for share in [60, 70] {
        let file = site.file("some", &config(share)).display().to_string();
        site.ctl(&format!("apply {file}")).await;
    }
    site.roll_out([0, 1]).await;
    site.stand.restore();
    let behind = site.stored().await.revision;
    let drained = site.ctl("drain live-1").await;
    let stored = site.stored().await;
    let config = stored.config().expect("a configuration");
    assert_eq!((behind, stored.revision), (1, 3));
    assert_eq!(drained.code, Code::Success, "{}", drained.text);
    assert_eq!(config.services()[0].share, 70);
    assert_eq!(config.servers()[0].state, State::Drain { deadline: None });
    site.end().await;
}

#[tokio::test]
async fn with_nobody_to_ask_the_reason_is_the_platform() {
    let site = Site::new(0).await;
    let empty = site.ctl("print").await;
    site.stand.change_faults(|faults| faults.silent = true);
    let silent = site.ctl("print").await;
    assert_eq!(empty.code, Code::NothingInForce);
    assert_eq!(silent.code, Code::PlatformTimeout);
    site.end().await;
}

#[tokio::test]
async fn a_file_with_problems_is_checked_and_never_applied() {
    let site = Site::new(0).await;
    let file = site.file("bad", &config(0)).display().to_string();
    let checked = site.ctl(&format!("check {file}")).await;
    let applied = site.ctl(&format!("apply {file}")).await;
    let absent = site.ctl("check nowhere.ini").await;
    assert_eq!(
        (checked.code, applied.code),
        (Code::ConfigInvalid, Code::ConfigInvalid)
    );
    assert_eq!(checked.data[0]["key"], "share");
    assert_eq!(checked.code.exit_status(), 13);
    assert_eq!(absent.code, Code::ConfigUnreadable);
    assert_eq!(site.stand.counts().swap, 0);
    site.end().await;
}

#[tokio::test]
async fn every_shell_gets_completions() {
    let site = Site::new(0).await;
    for shell in ["bash", "zsh", "fish"] {
        let report = site.ctl(&format!("completions {shell}")).await;
        assert!(report.text.contains("undrain"), "{shell}");
    }
    site.end().await;
}

/// One of three balancers has stopped answering. The report still comes, of the others' flows, and
/// says whose are missing.
#[tokio::test]
async fn the_burn_of_all_balancers_is_merged_and_the_silent_ones_are_named() {
    let site = Site::new(2).await;
    let file = site.file("one.ini", &config(70));
    site.ctl(&format!("apply {}", file.display())).await;
    let page = site.file("burn.html", &config(70));
    let gone = site.gone();
    let first = site.balancers[0].0;
    let second = site.balancers[1].0;
    let whole = format!("burn --balancer {first} --balancer {second}");
    let partly = format!("{whole} --balancer {gone} --html {}", page.display());

    let all = site.ctl(&whole).await;
    let one_silent = site.ctl(&partly).await;

    assert_eq!(all.code, Code::Success);
    assert_eq!(all.data["report"]["sources"], 2);
    let window = &all.data["report"]["rows"][0]["windows"][0];
    assert_eq!(
        (&window["count"]["good"], &window["failed"]),
        (&json!(198), &json!(2))
    );
    assert_eq!(one_silent.code, Code::BalancerUnreachable);
    assert_eq!(one_silent.data["silent"], json!([gone]));
    assert!(
        one_silent
            .text
            .contains(&format!("No answer came from {gone}"))
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
    site.end().await;
}
