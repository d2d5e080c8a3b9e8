//! The status that operators are shown.

use std::{sync::Arc, time::Duration};

use acacia_api::{Status, status::Phase};
use acacia_config::{
    Config, Server, Service,
    document::{Document, Draft, Id},
};
use acacia_flow::{Shards, shard::Limits};
use acacia_node::{
    control::{agreement, core::Core, platform},
    settings::Settings,
};
use acacia_tables::next_document;

use crate::settings::valid;

const START: Duration = Duration::from_secs(100);

fn core() -> Core {
    let settings = Settings::parse(&valid()).unwrap();
    Core::new(Arc::new(settings), 1, START)
}

fn status(core: &mut Core) -> Status {
    core.status(START, Duration::ZERO, &Shards::new(4, Limits::default()))
}

/// Returns the configuration document that follows `before`, with one more server.
pub fn with_server_added(before: Option<&Document>) -> Document {
    let mut config = Config::default();
    config.add_service(Service::new("live", [10, 77, 0, 1], 443, 70));
    for host in 0..=before.map_or(0, |document| document.revision) as u8 {
        let address = ([10, 1, 0, host], 6080).into();
        config.add_server(Server::new(
            &format!("live-{host}"),
            "live",
            address,
            "hervanta",
        ));
    }
    let draft = Draft {
        change: Id::new(7),
        author: "aino".into(),
        time: 0,
        config,
        in_force: None,
    };
    Document::follow(before, &draft).unwrap()
}

pub fn config_event(document: &Document) -> platform::Event {
    platform::Event::Config(Some(acacia_rollout::Entry {
        revision: document.revision,
        document: Some(Arc::new(document.clone())),
    }))
}

pub fn tables(before: Option<&acacia_tables::Document>, of: &Document) -> acacia_tables::Document {
    let situation = acacia_tables::Context {
        now: 0,
        is_known: &|_| true,
        weight: &|_, _| None,
    };
    next_document(before, of, &situation).unwrap().unwrap()
}

pub fn tables_event(tables: &acacia_tables::Document) -> platform::Event {
    platform::Event::Tables(Some(agreement::Entry {
        revision: tables.version,
        value: Some(tables.encode().unwrap().into()),
    }))
}

#[test]
fn a_balancer_that_has_just_started_reports_that_and_its_peers() {
    let status = status(&mut core());

    assert_eq!(status.phase, Phase::Starting);
    assert_eq!((&*status.name, status.id), ("balancer-3", 3));
    assert_eq!((status.revision, status.store_ms), (None, None));
    assert_eq!((status.services.len(), status.pins), (0, 0));
    let peers = status.peers.iter();
    let peers: Vec<_> = peers
        .map(|peer| (peer.id, peer.admin, peer.heard_ms))
        .collect();
    assert_eq!(peers, [(4, "127.0.0.2:6082".parse().unwrap(), None)]);
}

/// A configuration change reaches a balancer shortly before the tables that follow it. If operators
/// were told too early that a server is drained, they would stop it while it still gets new flows,
/// which would break.
#[test]
fn a_revision_is_shown_as_behind_until_the_tables_follow_it() {
    let mut core = core();
    let (first, second) = (
        with_server_added(None),
        with_server_added(Some(&with_server_added(None))),
    );
    let old = tables(None, &first);
    let new = tables(Some(&old), &second);
    let mut shown = Vec::new();

    for event in [
        config_event(&first),
        tables_event(&old),
        config_event(&second),
        tables_event(&new),
    ] {
        core.handle_platform_event(START, event);
        let status = status(&mut core);
        let table = status.services.first().map(|service| service.table);
        shown.push((status.revision, table, status.behind));
    }

    let expected = [
        (Some(1), None, true),
        (Some(1), Some(1), false),
        (Some(2), Some(1), true),
        (Some(2), Some(2), false),
    ];
    assert_eq!(shown, expected);
}
