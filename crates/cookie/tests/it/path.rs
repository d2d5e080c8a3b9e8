use std::sync::Arc;

use acacia_cookie::{
    path::{Paths, Verdict},
    silence::Finding,
};
use rstest::rstest;

use crate::fixture::ms;

fn servers(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|number| format!("i-{number}").into())
        .collect()
}

/// The last verdict on data centre `a` after a sample with these findings.
fn sample(paths: &mut Paths, findings: &[Finding], at: u64) -> Verdict {
    let servers = servers(findings.len());
    paths.begin_sample(&"a".into(), servers.clone(), ms(at));
    let verdicts = servers.iter().zip(findings);
    let verdicts =
        verdicts.map(|(server, finding)| paths.record("a", server, *finding, ms(at + 80)));
    verdicts.last().unwrap_or(Verdict::None)
}

/// A few dead servers must not condemn a data centre, and servers of which nothing is known must not count
/// as dead.
#[rstest]
#[case::all_silent(&[Finding::Silent; 4], Verdict::Lost)]
#[case::one_answers(&[Finding::Silent, Finding::Silent, Finding::Silent, Finding::Answered], Verdict::Scattered)]
#[case::all_answer(&[Finding::Answered; 4], Verdict::None)]
#[case::too_few(&[Finding::Silent; 2], Verdict::None)]
#[case::nothing_known(&[Finding::Unknown; 4], Verdict::None)]
#[case::hardly_anything_known(&[Finding::Unknown, Finding::Unknown, Finding::Silent, Finding::Silent], Verdict::None)]
fn a_data_centre_is_lost_only_if_no_server_of_a_sample_answers(
    #[case] findings: &[Finding],
    #[case] verdict: Verdict,
) {
    let mut paths = Paths::default();

    assert_eq!(sample(&mut paths, findings, 0), verdict);
    assert_eq!(paths.is_lost("a"), verdict == Verdict::Lost);
}

/// Each silent server reported to a balancer would otherwise start a sample of its own.
#[test]
fn samples_of_a_data_centre_are_limited() {
    let mut paths = Paths::default();
    sample(&mut paths, &[Finding::Answered; 4], 0);

    assert!(!paths.wants_sample("a", ms(900)));
    assert!(paths.wants_sample("a", ms(1_000)));
    assert!(paths.wants_sample("b", ms(900)));
}

/// A peer that is cut off itself reaches no data centre. One peer alone must not convince others.
#[test]
fn a_verdict_is_adopted_from_two_peers() {
    let mut paths = Paths::default();

    assert!(!paths.peer_found_lost(&"a".into(), 1, ms(0)));
    assert!(!paths.peer_found_lost(&"a".into(), 1, ms(100)));
    assert!(paths.peer_found_lost(&"a".into(), 2, ms(200)));
    assert_eq!(
        paths.found_lost(),
        [],
        "adopted verdicts are not reported again"
    );
}

#[test]
fn old_reports_of_peers_do_not_count() {
    let mut paths = Paths::default();
    paths.peer_found_lost(&"a".into(), 1, ms(0));

    assert!(!paths.peer_found_lost(&"a".into(), 2, ms(2_500)));
}

/// A data centre that can be reached again must be found so soon, and its return must be reported once.
#[test]
fn a_lost_data_centre_is_probed_until_a_server_answers() {
    let mut paths = Paths::default();
    sample(&mut paths, &[Finding::Silent; 4], 0);

    assert_eq!(paths.due(ms(200)), []);
    assert_eq!(paths.due(ms(600)), [Arc::from("a")]);
    assert!(paths.reached("a"));
    assert!(!paths.reached("a"));
    assert!(!paths.is_lost("a"));
}

/// A balancer that found a data centre lost by its own sample takes no peer's word for its return.
#[test]
fn a_peers_word_ends_only_an_adopted_verdict() {
    let (mut own, mut adopted) = (Paths::default(), Paths::default());
    sample(&mut own, &[Finding::Silent; 4], 0);
    adopted.peer_found_lost(&"a".into(), 1, ms(0));
    adopted.peer_found_lost(&"a".into(), 2, ms(0));

    assert!(!own.peer_reached("a", ms(200)));
    assert!(adopted.peer_reached("a", ms(200)));
    assert_eq!(own.due(ms(200)), [Arc::from("a")], "probed at once");
}
