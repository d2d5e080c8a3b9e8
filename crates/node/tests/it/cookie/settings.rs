use acacia_code::Code;
use acacia_node::{
    cookie::{Settings, settings::KEYS},
    settings::{Transport, transport},
};
use proptest::prelude::*;
use rstest::rstest;

use super::fixture::text;

#[test]
fn valid_settings_are_parsed() {
    let settings = Settings::parse(&text(3, "hervanta")).unwrap();

    assert_eq!(transport(&text(3, "hervanta")), Transport::Cookie);
    assert_eq!(
        (&*settings.name, &*settings.data_centre),
        ("entry-3", "hervanta")
    );
    assert_eq!(settings.control.to_string(), "10.0.0.3:8101");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(
        (settings.in_force.as_secs(), settings.flow.as_secs()),
        (3, 60)
    );
}

#[rstest]
#[case::shorter("evacuation_ms = 2000", 2_000)]
#[case::longer("evacuation_ms = 5000", 3_000)]
#[case::none("", 3_000)]
fn in_force_is_the_shorter_of_the_two_bounds(#[case] line: &str, #[case] expected_ms: u128) {
    let text = text(3, "a").replace("[bounds]", &format!("[bounds]\n{line}"));

    let settings = Settings::parse(&text).unwrap();

    assert_eq!(settings.in_force.as_millis(), expected_ms);
}

/// The first balancer of a fleet has no peers to contact.
#[test]
fn seeds_may_be_empty() {
    let text = text(3, "a").replace("seeds = 10.0.0.1:8101,10.0.0.2:8101", "seeds =");

    assert_eq!(Settings::parse(&text).unwrap().seeds, []);
}

#[rstest]
#[case::unknown_key(
    "[log]",
    "[log]\ncolour = red",
    "[log] colour: found red, expected no such key"
)]
#[case::missing("in_force_ms = 3000", "", "[bounds] in_force_ms: found nothing")]
#[case::too_small(
    "in_force_ms = 3000",
    "in_force_ms = 3",
    "[bounds] in_force_ms: found 3"
)]
#[case::seeds(
    "10.0.0.2:8101",
    "somewhere",
    "[control] seeds: found 10.0.0.1:8101,somewhere"
)]
#[case::negative("grace_s = 6", "grace_s = -1", "[bounds] grace_s: found -1")]
#[case::evacuation_too_small(
    "[bounds]",
    "[bounds]\nevacuation_ms = 3",
    "[bounds] evacuation_ms: found 3"
)]
#[case::negative_overshoot(
    "[bounds]",
    "[bounds]\ncold_overshoot = -0.5",
    "[bounds] cold_overshoot: found -0.5"
)]
#[case::infinite_slack(
    "[bounds]",
    "[bounds]\ncold_slack = inf",
    "[bounds] cold_slack: found inf"
)]
#[case::non_numeric_slack(
    "[bounds]",
    "[bounds]\ncold_slack = five",
    "[bounds] cold_slack: found five"
)]
fn an_invalid_value_is_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let error = Settings::parse(&text(3, "a").replace(from, to)).unwrap_err();

    assert_eq!(error.code, Code::SettingsInvalid);
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn the_settings_page_documents_every_key() {
    let page = include_str!("../../../../../docs/SETTINGS.md");

    for (section, keys) in KEYS {
        for key in *keys {
            let row = format!("| `[{section}]` | `{key}` |");
            assert!(page.contains(&row), "{row:?} is missing");
        }
    }
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text: String) {
        let _ = Settings::parse(&text);
        let _ = transport(&text);
    }
}
