use std::{sync::Arc, time::Duration};

use acacia_config::document::Document;
use acacia_node::control::{agreement, platform};
use acacia_tables::writer;

/// Timeout that the client sets for a watch (`acacia_platform::Options`).
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Call that has not been answered yet.
#[derive(Debug)]
struct PendingCall {
    balancer: usize,
    since: Duration,
    call: agreement::Call,
}

/// In-memory model of the platform's store: two keys, compare-and-swap and long-polling watches.
#[derive(Debug)]
pub struct Store {
    /// Stored configuration.
    pub config: Arc<Document>,
    tables: agreement::Entry,
    pending: Vec<PendingCall>,
    /// Number of calls received since the start.
    pub calls: u64,
}

impl Store {
    /// Creates a store that holds a configuration and no tables.
    #[must_use]
    pub fn new(config: Arc<Document>) -> Self {
        Store {
            config,
            tables: agreement::Entry {
                revision: 0,
                value: None,
            },
            pending: Vec::new(),
            calls: 0,
        }
    }

    /// Accepts a call from the balancer at index `balancer`. [`Store::answers`] returns the answer.
    pub fn call(&mut self, balancer: usize, call: agreement::Call, now: Duration) {
        self.calls += 1;
        let same = |pending: &PendingCall| {
            let kind = std::mem::discriminant(&pending.call);
            pending.balancer == balancer && kind == std::mem::discriminant(&call)
        };
        self.pending.retain(|pending| !same(pending));
        self.pending.push(PendingCall {
            balancer,
            since: now,
            call,
        });
    }

    /// Returns the answers that are available now, each with the balancer that it goes to.
    pub fn answers(&mut self, now: Duration) -> Vec<(usize, platform::Event)> {
        let mut answers = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            let timed_out = now >= pending.since + WATCH_TIMEOUT;
            match self.answer(&pending.call, timed_out) {
                Some(event) => answers.push((pending.balancer, event)),
                None => self.pending.push(pending),
            }
        }
        answers
    }

    fn answer(&mut self, call: &agreement::Call, timed_out: bool) -> Option<platform::Event> {
        match call {
            agreement::Call::WatchConfig { above } => {
                let answer = acacia_rollout::Entry {
                    revision: self.config.revision,
                    document: Some(Arc::clone(&self.config)),
                };
                (timed_out || answer.revision > *above)
                    .then_some(platform::Event::Config(Some(answer)))
            }
            agreement::Call::WatchTables { above } => (timed_out || self.tables.revision > *above)
                .then(|| platform::Event::Tables(Some(self.tables.clone()))),
            agreement::Call::ReadTables => {
                Some(platform::Event::ReadTables(Some(self.tables.clone())))
            }
            agreement::Call::WriteTables { expected, text } => Some(platform::Event::WroteTables(
                self.compare_and_swap(*expected, Arc::clone(text)),
            )),
        }
    }

    fn compare_and_swap(&mut self, expected: u64, text: Arc<str>) -> writer::Answer {
        if expected != self.tables.revision {
            return writer::Answer::Conflict;
        }
        self.tables = agreement::Entry {
            revision: expected + 1,
            value: Some(text),
        };
        writer::Answer::Written {
            revision: expected + 1,
        }
    }
}
