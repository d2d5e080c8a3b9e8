use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::time_series::MINUTE;
use crate::{Count, Mark, TimeSeries};

/// Services that one balancer counts apart. 256 with two marks each bound the memory at 9 MB;
/// today there are two services. Flows of further ones are added up under [`OTHERS`].
const MOST_SERVICES: usize = 512;
/// The name under which services beyond the limit are counted.
const OTHERS: &str = "(others)";

/// The process that counted: a balancer and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The balancer.
    pub balancer: u16,
    /// Its incarnation.
    pub incarnation: u64,
}

/// What one source has counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Book {
    /// Since when it counts, in seconds since 1970.
    pub(crate) since: u64,
    /// When it last counted, or last said that there was nothing to count.
    pub(crate) until: u64,
    tapes: Vec<(Arc<str>, Mark, TimeSeries)>,
}

/// The counts of any number of balancers.
///
/// Merging is idempotent, commutative and associative: counts are kept apart by source, and a
/// slot of one source only rises. So it doesn't matter who asked whom, or whether a balancer that
/// left had handed its counts to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    #[serde(with = "pairs")]
    pub(crate) books: BTreeMap<Source, Book>,
}

impl Ledger {
    /// The empty ledger of a balancer that begins to count at `now`, in seconds since 1970.
    ///
    /// ```
    /// use acacia_burn::{Count, Ledger, Mark, Source};
    /// let source = Source { balancer: 1, incarnation: 1 };
    /// let mut ledger = Ledger::new(source, 1_000_000);
    /// let good = Count { good: 9, ..Count::default() };
    /// ledger.add(source, 1_000_060, &"talkoo-live".into(), Mark::Paying, good);
    /// assert_eq!(ledger.sum("talkoo-live", Mark::Paying, 1_000_060, 300).good, 9);
    /// ```
    #[must_use]
    pub fn new(source: Source, now: u64) -> Self {
        let book = Book {
            since: now,
            until: now,
            tapes: Vec::new(),
        };
        Ledger {
            books: BTreeMap::from([(source, book)]),
        }
    }

    /// Adds flows that ended at a source at `now`.
    pub fn add(&mut self, source: Source, now: u64, service: &Arc<str>, mark: Mark, count: Count) {
        let new = || Book {
            since: now,
            until: now,
            tapes: Vec::new(),
        };
        let book = self.books.entry(source).or_insert_with(new);
        book.until = book.until.max(now);
        book.tape(service, mark).add(now, count);
    }

    /// Notes that a source has counted up to `now`, also when no flow ended: a balancer does so
    /// before it answers with its ledger. A source that has been quiet for 5 minutes counts as gone.
    pub fn touch(&mut self, source: Source, now: u64) {
        if let Some(book) = self.books.get_mut(&source) {
            book.until = book.until.max(now);
        }
    }

    /// Takes in another ledger.
    pub fn merge(&mut self, other: &Ledger) {
        for (source, theirs) in &other.books {
            match self.books.get_mut(source) {
                Some(book) => book.merge(theirs),
                None => {
                    self.books.insert(*source, theirs.clone());
                }
            }
        }
    }

    /// Forgets those sources that have counted nothing for longest, until `most` are left: a
    /// balancer that takes in the counts of those that leave must not grow with each.
    pub fn limit(&mut self, most: usize) {
        while self.books.len() > most {
            let oldest = self.books.iter().min_by_key(|(_, book)| book.until);
            let Some(source) = oldest.map(|(source, _)| *source) else {
                return;
            };
            self.books.remove(&source);
        }
    }

    /// All sources' counts of a service in the `window` seconds before `now`.
    #[must_use]
    pub fn sum(&self, service: &str, mark: Mark, now: u64, window: u64) -> Count {
        let tapes = self.books.values().flat_map(|book| &book.tapes);
        let of_service = tapes.filter(|(name, other, _)| &**name == service && *other == mark);
        of_service.fold(Count::default(), |sum, (_, _, tape)| {
            sum.plus(tape.sum(now, window))
        })
    }

    /// Every service and mark that was counted, in order.
    #[must_use]
    pub fn keys(&self) -> Vec<(Arc<str>, Mark)> {
        let tapes = self.books.values().flat_map(|book| &book.tapes);
        let mut keys: Vec<_> = tapes
            .map(|(name, mark, _)| (Arc::clone(name), *mark))
            .collect();
        keys.sort();
        keys.dedup();
        keys
    }

    /// The sources, in order.
    pub fn sources(&self) -> impl Iterator<Item = Source> + '_ {
        self.books.keys().copied()
    }
}

impl Book {
    /// Whether its source counts still. 5 min: the shortest window of a report.
    pub(crate) fn is_current(&self, now: u64) -> bool {
        now.saturating_sub(self.until) <= 5 * MINUTE
    }

    /// For how many of the `seconds` before `now` it has counts.
    pub(crate) fn known(&self, now: u64, seconds: u64) -> u64 {
        let end = if self.is_current(now) {
            now
        } else {
            self.until
        };
        let start = self.since.max(now.saturating_sub(seconds));
        end.saturating_sub(start)
    }

    fn tape(&mut self, service: &Arc<str>, mark: Mark) -> &mut TimeSeries {
        let find = |book: &Book, name: &str| {
            book.tapes
                .binary_search_by(|(other, m, _)| (&**other, *m).cmp(&(name, mark)))
        };
        let mut name = Arc::clone(service);
        if find(self, &name).is_err() && self.tapes.len() >= MOST_SERVICES {
            name = OTHERS.into();
        }
        let at = find(self, &name).unwrap_or_else(|at| {
            self.tapes.insert(at, (name, mark, TimeSeries::default()));
            at
        });
        &mut self.tapes[at].2
    }

    fn merge(&mut self, other: &Book) {
        self.since = self.since.min(other.since);
        self.until = self.until.max(other.until);
        for (service, mark, tape) in &other.tapes {
            self.tape(service, *mark).merge(tape);
        }
    }
}

/// JSON has only strings as keys; a list of pairs serves every format.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Book, Source};

    pub(super) fn serialize<S: Serializer>(
        books: &BTreeMap<Source, Book>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(books)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<Source, Book>, D::Error> {
        Ok(Vec::<(Source, Book)>::deserialize(deserializer)?
            .into_iter()
            .collect())
    }
}
