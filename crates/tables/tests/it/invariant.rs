use std::collections::{BTreeMap, BTreeSet};

use acacia_tables::{Document, NO_SERVER, Service, State};

use crate::fixture::service_address;

/// All documents that were written, in order.
#[derive(Debug, Default)]
pub struct History {
    pub documents: Vec<Document>,
    /// The server that has a number of a service, and the last version that lists it.
    numbers: BTreeMap<(u8, u16), (std::net::SocketAddr, u64)>,
}

impl History {
    /// Checks a document against the previous ones, while every balancer has at least version
    /// `known`.
    pub fn add(&mut self, document: &Document, known: u64) {
        let before = self.documents.last();
        let (version, config) = before.map_or((0, 0), |before| (before.version, before.config));
        assert_eq!(document.version, version + 1);
        assert!(document.config >= config, "an accepted change was reverted");
        self.check_numbers(document);
        for service in &document.services {
            check_shares(service);
            self.check_base(service, known);
        }
        self.documents.push(document.clone());
    }

    /// Checks that a number always refers to the same server, and is never used again once that
    /// server is no longer listed.
    fn check_numbers(&mut self, document: &Document) {
        for id in 1..3 {
            let servers = document
                .service(&service_address(id))
                .map(|service| &service.servers);
            for server in servers.into_iter().flatten() {
                let entry = (server.address, document.version);
                let seen = self.numbers.entry((id, server.number)).or_insert(entry);
                assert_eq!(
                    seen.0, server.address,
                    "number {} was reused",
                    server.number
                );
                assert!(
                    document.version - seen.1 <= 1,
                    "number {} was listed again",
                    server.number
                );
                seen.1 = document.version;
            }
        }
    }

    /// Checks that a bucket's base only moves away from [`NO_SERVER`], or from a server that is
    /// gone and gets no new flows in any tables that some balancer may still have.
    fn check_base(&self, new: &Service, known: u64) {
        let same = |document: &Document| {
            let service = document.service(&new.address).cloned();
            service.filter(|service| service.since == new.since)
        };
        let Some(old) = self.documents.last().and_then(same) else {
            return;
        };
        let moved = old
            .base
            .iter()
            .zip(new.base.iter())
            .filter(|(from, to)| from != to);
        let moved: BTreeSet<u16> = moved.map(|(from, _)| *from).collect();
        for from in moved.into_iter().filter(|&from| from != NO_SERVER) {
            assert!(
                new.server(from)
                    .is_none_or(|server| server.state == State::Gone)
            );
            let possible = self
                .documents
                .iter()
                .filter(|possible| possible.version >= known.max(1));
            for service in possible.map(same) {
                let state = service.and_then(|service| Some(service.server(from)?.state));
                assert!(
                    state.is_some_and(|state| state != State::Up),
                    "base of {from} moved"
                );
            }
        }
    }
}

fn check_shares(service: &Service) {
    let total: u64 = service.servers.iter().map(|s| u64::from(s.weight)).sum();
    for server in service.servers.iter().filter(|_| total > 0) {
        let buckets = service.next.iter().filter(|&&n| n == server.number).count() as u64;
        let fair = service.next.len() as u64 * u64::from(server.weight) / total;
        assert!((fair..=fair + 1).contains(&buckets), "{buckets} for {fair}");
    }
}
