use std::net::SocketAddr;

use crate::fixture::cases;
use acacia_config::{
    Config, Server, Service,
    document::{Document, Draft, Error, HISTORY, Id, MAX_SIZE},
};
use proptest::prelude::*;

use crate::fixture::{any_config, config, draft};

/// The document that follows `before` when a change to `config` is accepted.
fn follow(before: Option<&Document>, change: u128, config: Config) -> Document {
    Document::follow(before, &draft(change, config)).expect("a document")
}

/// A service is removed and another is created at its address. Guards against flows of the first,
/// which balancers may still remember, being sent to the servers of the second.
#[test]
fn a_service_removed_and_created_again_gets_another_instance() {
    let first = follow(None, 1, config());
    let changed = follow(Some(&first), 2, {
        let mut changed = config();
        changed.add_server(Server::new("x", "live", ([10, 1, 9, 9], 1).into(), "dc"));
        changed
    });
    let removed = follow(Some(&changed), 3, Config::default());
    let created = follow(Some(&removed), 4, config());
    assert_eq!(first.instances, changed.instances);
    assert!(removed.instances.is_empty());
    for (service, instance) in &created.instances {
        assert!(
            !first.instances.values().any(|old| old == instance),
            "{service}"
        );
    }
}

#[test]
fn a_service_at_another_address_gets_another_instance() {
    let first = follow(None, 1, config());
    let mut moved = Config::default();
    moved.add_service(Service::new("live", [10, 77, 0, 8], 443, 70));
    let second = follow(Some(&first), 2, moved);
    assert_ne!(first.instances["live"], second.instances["live"]);
}

/// The platform was restored from a backup and has an older document than the balancers. A change
/// with the next revision after that document would be outdated for every balancer and never come
/// into force, and flows of a service created since the backup would be taken for those of another.
#[test]
fn a_change_is_based_on_the_document_that_the_balancers_have_in_force() {
    let backup = follow(None, 1, Config::default());
    let in_force = follow(Some(&follow(Some(&backup), 2, config())), 3, config());
    let draft = Draft {
        in_force: Some(in_force.clone().into()),
        ..draft(4, config())
    };
    let next = Document::follow(Some(&backup), &draft).expect("a document");
    assert_eq!(next.revision, 4);
    assert_eq!(next.instances, in_force.instances);
    assert!(next.contains(Id::new(3)));
}

#[test]
fn the_history_is_bounded_and_contains_recent_changes() {
    let mut document = follow(None, 0, config());
    for change in 1..=200 {
        document = follow(Some(&document), change, Config::default());
    }
    assert_eq!(document.records().len(), HISTORY);
    assert!(document.contains(Id::new(200)));
    assert_eq!(document.revision_of(Id::new(150)), Some(151));
    assert!(!document.contains(Id::new(100)));
}

/// A corrupt document, or a balancer that reports a wrong one, has a revision near the maximum. If
/// it were accepted, there would be no revisions left for later changes.
#[test]
fn a_revision_out_of_range_is_refused() {
    let mut corrupt = follow(None, 1, config());
    corrupt.revision = u64::MAX;
    let decoded = Document::decode(&corrupt.encode());
    let draft = Draft {
        in_force: Some(corrupt.into()),
        ..draft(2, config())
    };
    let followed = Document::follow(None, &draft);
    assert!(matches!(decoded, Err(Error::Undecodable(_))));
    assert!(matches!(followed, Err(Error::Undecodable(_))));
}

/// The store accepts values of up to a megabyte. A larger configuration must be refused: if it were
/// truncated, servers would be removed silently.
#[test]
fn a_document_too_large_for_the_store_is_refused() {
    let mut large = Config::default();
    large.add_service(Service::new("live", [10, 77, 0, 1], 443, 70));
    for host in 0..30_000_u32 {
        let address = SocketAddr::from((std::net::Ipv4Addr::from(0x0a10_0000 + host), 6080));
        large.add_server(Server::new(
            &format!("host-{host}"),
            "live",
            address,
            "hervanta",
        ));
    }
    let refused = Document::follow(None, &draft(1, large));
    assert!(matches!(refused, Err(Error::TooLarge { size }) if size > MAX_SIZE));
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn a_document_decodes_to_the_same_value(config in any_config(), change: u128) {
        let document = follow(None, change, config.clone());
        prop_assert_eq!(Document::decode(&document.encode()), Ok(document.clone()));
        prop_assert_eq!(document.config(), Ok(config));
    }

    #[test]
    fn a_value_that_is_not_a_document_is_an_error(value in any::<String>()) {
        prop_assert!(Document::decode(&value).is_err());
    }

    /// In any sequence of changes, an instance number is never used for two different services.
    #[test]
    fn instance_numbers_are_never_reused(configs in prop::collection::vec(any_config(), 1..8)) {
        let mut document = None;
        let mut used = std::collections::BTreeMap::new();
        for config in configs {
            let next = follow(document.as_ref(), 1, config.clone());
            for (name, instance) in &next.instances {
                let endpoint = config.service(name)
                    .map(|s| (s.address, s.port, s.protocol.label()));
                let owner = (name.clone(), endpoint);
                prop_assert_eq!(used.entry(*instance).or_insert(owner.clone()), &owner);
            }
            document = Some(next);
        }
    }
}
