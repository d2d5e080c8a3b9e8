use acacia_adapter_stand::caller::End;
use acacia_soak::watch::{ServerRecord, Tally, judge};
use rstest::rstest;

fn healthy() -> Tally {
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
fn a_healthy_run_violates_no_guarantee() {
    assert_eq!(
        judge(&healthy(), &healthy(), &[ran(0, &["0-a", "0-b"])]),
        []
    );
}

/// The soak must detect violations of the guarantees.
#[rstest]
#[case::twice(ran(0, &["0-a", "0-a"]), "more than once")]
#[case::another_service(ran(1, &["0-a"]), "another service")]
fn duplicate_and_misrouted_requests_are_detected(
    #[case] ran: ServerRecord,
    #[case] expected: &str,
) {
    let breaches = judge(&healthy(), &healthy(), &[ran]);

    assert!(breaches[0].0.contains(expected), "{breaches:?}");
}

#[test]
fn unanswered_requests_after_recovery_are_detected() {
    let mut after = healthy();
    after.note(End::Silent);
    after.note(End::Refused);

    assert!(judge(&healthy(), &after, &[])[0].0.contains("100 of 102"));
}

#[test]
fn broken_flows_and_mixed_up_answers_are_detected() {
    let tally = Tally {
        broken: vec!["0-x".into()],
        mixed: vec!["0-y".into()],
        ..healthy()
    };

    assert_eq!(judge(&tally, &healthy(), &[]).len(), 2);
}
