use acacia_adapter_stand::caller::End;
use acacia_soak::watch::{ServerRecord, Tally, judge};
use rstest::rstest;

fn well() -> Tally {
    let mut tally = Tally::default();
    for _ in 0..100 {
        tally.note(End::Answered);
    }
    tally
}

fn ran(service: usize, requests: &[&str]) -> ServerRecord {
    ServerRecord {
        service,
        server: "i-1".into(),
        requests: requests
            .iter()
            .map(|request| request.as_bytes().to_vec())
            .collect(),
    }
}

#[test]
fn what_is_well_breaks_no_promise() {
    assert_eq!(judge(&well(), &well(), &[ran(0, &["0-a", "0-b"])]), []);
}

/// The soak is worth nothing if it doesn't see what it looks for.
#[rstest]
#[case::twice(ran(0, &["0-a", "0-a"]), "more than once")]
#[case::another_service(ran(1, &["0-a"]), "another service")]
fn what_servers_must_not_run_is_seen(#[case] ran: ServerRecord, #[case] expected: &str) {
    let breaches = judge(&well(), &well(), &[ran]);

    assert!(breaches[0].0.contains(expected), "{breaches:?}");
}

#[test]
fn callers_that_are_not_served_at_the_end_are_seen() {
    let mut after = well();
    after.note(End::Silent);
    after.note(End::Refused);

    assert!(judge(&well(), &after, &[])[0].0.contains("100 of 102"));
}

#[test]
fn broken_flows_and_mixed_answers_are_seen() {
    let tally = Tally {
        broken: vec!["0-x".into()],
        mixed: vec!["0-y".into()],
        ..well()
    };

    assert_eq!(judge(&tally, &well(), &[]).len(), 2);
}
