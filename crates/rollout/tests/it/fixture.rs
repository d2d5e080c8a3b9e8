use proptest::{prelude::ProptestConfig, test_runner::RngSeed};
use std::{sync::Arc, time::Duration};

use acacia_config::{
    Config, Service,
    document::{Document, Draft, Id},
};
use acacia_rollout::{Entry, Options, Peer, Rollout};

/// Runs a number of cases from a fixed seed, so that every run has the same result.
pub fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0xacac1a),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn peer(id: u16, data_centre: &str) -> Peer {
    Peer {
        id,
        data_centre: data_centre.into(),
    }
}

pub fn rollout(id: u16, data_centre: &str) -> Rollout {
    let options = Options {
        me: peer(id, data_centre),
        seed: id.into(),
    };
    Rollout::new(options, Duration::ZERO)
}

/// The document of a revision, in a history without conflicting changes.
pub fn document(revision: u64) -> Arc<Document> {
    let mut config = Config::default();
    config.add_service(Service::new(
        "live",
        [10, 77, 0, 1],
        443,
        (revision % 100) as u8 + 1,
    ));
    let draft = Draft {
        change: Id::new(revision.into()),
        author: "aino".into(),
        time: revision,
        config,
        in_force: None,
    };
    let first = Document::follow(None, &draft).expect("a document");
    Arc::new(Document { revision, ..first })
}

/// The answer of a store that has the document of a revision.
pub fn answer(revision: u64) -> Entry {
    Entry {
        revision,
        document: Some(document(revision)),
    }
}
