use crate::fixture::cases;
use acacia_code::Code;
use acacia_config::{parse, print};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{any_config, config};

/// The problems of a text, each as code, section and key.
fn problems(text: &str) -> Vec<(Code, String, String)> {
    let invalid = parse(text).expect_err("a problem");
    let summary = |p: &acacia_config::Problem| (p.code, p.section.to_string(), p.key.to_string());
    invalid.problems.iter().map(summary).collect()
}

#[rstest]
#[case::unknown_key("weight = 1\n", Code::ConfigKeyUnknown, "weight")]
#[case::no_such_service(
    "x = 1\n[servers gone]\na = 10.1.1.1:1 dc\n",
    Code::ConfigReference,
    "a"
)]
#[case::duplicate_key("port = 80\n", Code::ConfigDuplicate, "port")]
#[case::invalid_number("slots = some\n", Code::ConfigValueInvalid, "slots")]
#[case::zero_slots("slots = 0\n", Code::ConfigRangeExceeded, "slots")]
#[case::duplicate_address(
    "[servers live]\na = 10.1.0.3:6080 dc\n",
    Code::ConfigDuplicate,
    "maps-1"
)]
#[case::slots_without_connections(
    "[servers live]\na = 10.1.9.9:1 dc slots=1\n",
    Code::ConfigValueInvalid,
    "a"
)]
#[case::latency_without_availability(
    "latency = 99% within 5ms\n",
    Code::ConfigKeyMissing,
    "availability"
)]
#[case::unknown_section("[backend live]\n", Code::ConfigKeyUnknown, "")]
#[case::bits_beyond_the_length(
    "[customer c]\nmark = trial\nprefix = 10.1.1.1/8\n",
    Code::ConfigValueInvalid,
    "prefix"
)]
#[case::shares_above_100_percent(
    "[service more]\naddress = 10.7.7.7\nport = 1\nshare = 1%\n",
    Code::ConfigRangeExceeded,
    "share"
)]
fn a_problem_is_reported_with_its_code_and_key(
    #[case] added: &str,
    #[case] code: Code,
    #[case] key: &str,
) {
    let first = "[service live]\naddress = 10.77.0.1\nport = 443\nshare = 100%\n";
    let rest = "[servers maps]\nmaps-1 = 10.1.0.3:6080 dc\n\
                [service maps]\naddress = 10.77.0.2\nport = 443\nshare = 0%\n";
    let found = problems(&format!("{first}{added}{rest}"));
    assert!(
        found.iter().any(|(c, _, k)| (*c, &**k) == (code, key)),
        "{found:?}"
    );
}

#[test]
fn every_problem_is_listed_at_once() {
    let text = "[service live]\nport = many\nshare = 70\n[servers gone]\na = nowhere\n";
    let found = problems(text);
    let live = |code, key: &str| (code, "service live".into(), key.into());
    assert_eq!(
        found,
        [
            live(Code::ConfigKeyMissing, "address"),
            live(Code::ConfigValueInvalid, "port"),
            live(Code::ConfigValueInvalid, "share"),
            (Code::ConfigValueInvalid, "servers gone".into(), "a".into()),
        ]
    );
}

/// A file is truncated by accident. The library silently drops an indented last line without '=',
/// so that the server on it would be removed.
#[test]
fn a_truncated_last_line_is_a_problem() {
    let text = print(&config()) + "  pre";
    let found = problems(&text);
    assert_eq!(found[0].0, Code::ConfigUnreadable);
}

proptest! {
    #![proptest_config(cases(256))]

    /// Any text gives a configuration or a list of problems, never a panic.
    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        let _outcome = parse(&text);
    }

    /// The same for the text of a configuration with a random edit. If it is still valid, its
    /// canonical form parses to the same value.
    #[test]
    fn damaged_text_never_panics(
        config in any_config(), at: prop::sample::Index, cut in 0_usize..9, paste in "[\\PC\n=\\[\\]\\\\x\"']{0,6}",
    ) {
        let mut text: Vec<char> = print(&config).chars().collect();
        let start = at.index(text.len() + 1);
        let end = (start + cut).min(text.len());
        text.splice(start..end, paste.chars());
        let text: String = text.into_iter().collect();
        if let Ok(parsed) = parse(&text) {
            prop_assert_eq!(parse(&print(&parsed)), Ok(parsed));
        }
    }
}
