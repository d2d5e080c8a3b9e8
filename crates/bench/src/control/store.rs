use std::{sync::Arc, time::Duration};

use acacia_config::document::Document;
use acacia_node::control::{agreement, platform};
use acacia_tables::writer;

/// Timeout that the client sets for a watch (`acacia_platform::Options`).
const WATCH: Duration = Duration::from_secs(2);

/// Call that has not been answered yet.
#[derive(Debug)]
struct Waiting {
    by: usize,
    since: Duration,
    order: agreement::Call,
}

/// In-memory model of the platform's store: two keys, compare-and-swap and long-polling watches.
#[derive(Debug)]
pub struct Store {
    /// Stored configuration.
    pub config: Arc<Document>,
    tables: agreement::Entry,
    waiting: Vec<Waiting>,
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
            waiting: Vec::new(),
            calls: 0,
        }
    }

    /// Accepts a call from the balancer at index `by`. [`Store::answers`] returns the answer.
    pub fn call(&mut self, by: usize, order: agreement::Call, now: Duration) {
        self.calls += 1;
        let same = |waiting: &Waiting| {
            let kind = std::mem::discriminant(&waiting.order);
            waiting.by == by && kind == std::mem::discriminant(&order)
        };
        self.waiting.retain(|waiting| !same(waiting));
        self.waiting.push(Waiting {
            by,
            since: now,
            order,
        });
    }

    /// Returns the answers that are available now, each with the balancer that it goes to.
    pub fn answers(&mut self, now: Duration) -> Vec<(usize, platform::Event)> {
        let mut answers = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let late = now >= waiting.since + WATCH;
            match self.answer(&waiting.order, late) {
                Some(news) => answers.push((waiting.by, news)),
                None => self.waiting.push(waiting),
            }
        }
        answers
    }

    fn answer(&mut self, order: &agreement::Call, late: bool) -> Option<platform::Event> {
        match order {
            agreement::Call::WatchConfig { above } => {
                let answer = acacia_rollout::Entry {
                    revision: self.config.revision,
                    document: Some(Arc::clone(&self.config)),
                };
                (late || answer.revision > *above).then_some(platform::Event::Config(Some(answer)))
            }
            agreement::Call::WatchTables { above } => (late || self.tables.revision > *above)
                .then(|| platform::Event::Tables(Some(self.tables.clone()))),
            agreement::Call::ReadTables => {
                Some(platform::Event::ReadTables(Some(self.tables.clone())))
            }
            agreement::Call::WriteTables { expected, text } => Some(platform::Event::WroteTables(
                self.swap(*expected, Arc::clone(text)),
            )),
        }
    }

    fn swap(&mut self, expected: u64, text: Arc<str>) -> writer::Answer {
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
