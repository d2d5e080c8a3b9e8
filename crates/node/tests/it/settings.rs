//! Parsing and validation of the settings, and their documentation.

use acacia_code::Code;
use acacia_node::settings::{KEYS, PEER_KEYS, Settings};
use proptest::prelude::*;

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

pub fn valid() -> String {
    format!(
        "[balancer]\nid = 3\ndata_centre = hervanta\n\
         [traffic]\nlisten = 127.0.0.1:6080\nthreads = 2\ngateway = 127.0.0.1:6084\n\
         [control]\nlisten = 127.0.0.1:6081\nkey = {KEY}\n\
         [admin]\nlisten = 127.0.0.1:6082\n[platform]\naddress = 127.0.0.1:6083\n\
         [peer.4]\ndata_centre = lielahti\ncontrol = 127.0.0.2:6081\n"
    )
}

#[test]
fn valid_settings_are_parsed() {
    let settings = Settings::parse(&valid()).unwrap();

    assert_eq!(settings.id, 3);
    assert_eq!(&*settings.data_centre, "hervanta");
    assert_eq!(settings.threads, 2);
    assert_eq!(settings.peers[&4].control.to_string(), "127.0.0.2:6081");
    assert_eq!(settings.metrics, None);
}

#[test]
fn the_advertised_address_is_that_of_the_control_socket_unless_set() {
    let translated = valid().replace("id = 3", "id = 3\nadvertise = 127.0.0.9");

    let plain = Settings::parse(&valid()).unwrap();
    let translated = Settings::parse(&translated).unwrap();

    assert_eq!(plain.advertise.to_string(), "127.0.0.1");
    assert_eq!(translated.advertise.to_string(), "127.0.0.9");
}

/// All problems must be listed at once. An operator who can only fix one mistake per start loses an
/// hour during a nightly roll-out.
#[test]
fn every_problem_is_listed_with_section_key_found_and_expected() {
    let text = valid()
        .replace("id = 3", "id = three")
        .replace("threads = 2", "threads = 900")
        .replace("[admin]\nlisten = 127.0.0.1:6082\n", "")
        .replace("[traffic]", "[traffic]\nlisten_adress = x");

    let error = Settings::parse(&text).unwrap_err();

    assert_eq!(error.code, Code::SettingsInvalid);
    let shown = error.to_string();
    for expected in [
        "[balancer] id: found three, expected a number",
        "[traffic] threads: found 900, expected a number from 1 to 64",
        "[admin] listen: found nothing, expected an IPv4 address",
        "[traffic] listen_adress: found x, expected no such key",
    ] {
        assert!(
            shown.contains(expected),
            "{expected:?} is missing in:\n{shown}"
        );
    }
}

#[test]
fn a_wrong_key_is_not_repeated_in_the_message() {
    let text = valid().replace(KEY, "hunter2");

    let shown = Settings::parse(&text).unwrap_err().to_string();

    assert!(
        shown.contains("[control] key: found 7 characters"),
        "{shown}"
    );
    assert!(!shown.contains("hunter2"));
}

#[test]
fn every_key_is_documented() {
    let page = include_str!("../../../../docs/SETTINGS.md");
    let of_peers = ("peer.N", PEER_KEYS);

    for (section, keys) in KEYS.iter().chain([&of_peers]) {
        for key in *keys {
            let row = format!("| `[{section}]` | `{key}` |");
            assert!(page.contains(&row), "{row:?} is missing");
        }
    }
}

#[test]
fn the_documented_example_is_valid() {
    let page = include_str!("../../../../docs/SETTINGS.md");
    let (_, rest) = page.split_once("```ini\n").unwrap();
    let (example, _) = rest.split_once("```").unwrap();

    let settings = Settings::parse(example).unwrap();

    assert_eq!((settings.id, settings.peers.len()), (3, 1));
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text: String) {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn changed_settings_never_panic(at: prop::sample::Index, with: String) {
        let mut text = valid();
        let at = at.index(text.len());
        text.replace_range(at..=at, &with);
        let _ = Settings::parse(&text);
    }
}
