use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::time_series::MINUTE;
use crate::{Count, Mark, Series};

/// Maximum number of time series of one balancer, one for each service and mark.
///
/// 256 services with two marks each bound the memory to 9 MB; current deployments have two
/// services. Flows of further services are counted together as [`OTHER_SERVICES`].
const MAX_SERIES: usize = 512;
/// The service name under which flows beyond [`MAX_SERIES`] are counted.
const OTHER_SERVICES: &str = "(others)";

/// The process that counted flows: a balancer and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// The id of the balancer.
    pub balancer: u16,
    /// The incarnation of the balancer.
    pub incarnation: u64,
}

/// The counts of one source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Counts {
    /// When the source started counting, in seconds since the Unix epoch.
    pub(crate) since: u64,
    /// When the source last counted a flow or confirmed that its counts are complete, in seconds
    /// since the Unix epoch.
    pub(crate) until: u64,
    #[serde(rename = "tapes")]
    series: Vec<(Arc<str>, Mark, Series)>,
}

/// The counts of any number of balancers.
///
/// Merging is idempotent, commutative and associative, because counts are stored by source and the
/// counts in a slot of one source only increase. The result doesn't depend on the order in which
/// ledgers are fetched, or on whether a balancer that left had handed its counts to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    #[serde(rename = "books", with = "pairs")]
    pub(crate) by_source: BTreeMap<Source, Counts>,
}

impl Ledger {
    /// Creates the empty ledger of a balancer that starts counting at `now`, in seconds since the
    /// Unix epoch.
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
        let counts = Counts {
            since: now,
            until: now,
            series: Vec::new(),
        };
        Ledger {
            by_source: BTreeMap::from([(source, counts)]),
        }
    }

    /// Adds flows of a source that ended at `now`.
    pub fn add(&mut self, source: Source, now: u64, service: &Arc<str>, mark: Mark, count: Count) {
        let new = || Counts {
            since: now,
            until: now,
            series: Vec::new(),
        };
        let counts = self.by_source.entry(source).or_insert_with(new);
        counts.until = counts.until.max(now);
        counts.series_mut(service, mark).add(now, count);
    }

    /// Records that the counts of a source are complete up to `now`, even if no flow ended. A
    /// balancer does this before it returns its ledger. A source without counts or such a record
    /// for more than 5 minutes is considered gone.
    pub fn touch(&mut self, source: Source, now: u64) {
        if let Some(counts) = self.by_source.get_mut(&source) {
            counts.until = counts.until.max(now);
        }
    }

    /// Merges another ledger into this one.
    pub fn merge(&mut self, other: &Ledger) {
        for (source, theirs) in &other.by_source {
            match self.by_source.get_mut(source) {
                Some(counts) => counts.merge(theirs),
                None => {
                    self.by_source.insert(*source, theirs.clone());
                }
            }
        }
    }

    /// Removes the sources that have not counted for the longest time until `max_sources` are left.
    ///
    /// Otherwise the ledger of a balancer would grow with every balancer that leaves and hands over
    /// its counts.
    pub fn limit(&mut self, max_sources: usize) {
        while self.by_source.len() > max_sources {
            let oldest = self.by_source.iter().min_by_key(|(_, counts)| counts.until);
            let Some(source) = oldest.map(|(source, _)| *source) else {
                return;
            };
            self.by_source.remove(&source);
        }
    }

    /// Returns the counts of a service in the `window` seconds before `now`, over all sources.
    #[must_use]
    pub fn sum(&self, service: &str, mark: Mark, now: u64, window: u64) -> Count {
        let series = self.by_source.values().flat_map(|counts| &counts.series);
        let of_service = series.filter(|(name, other, _)| &**name == service && *other == mark);
        of_service.fold(Count::default(), |sum, (_, _, one)| {
            sum.plus(one.sum(now, window))
        })
    }

    /// Returns every counted pair of service and mark, sorted.
    #[must_use]
    pub fn keys(&self) -> Vec<(Arc<str>, Mark)> {
        let series = self.by_source.values().flat_map(|counts| &counts.series);
        let mut keys: Vec<_> = series
            .map(|(name, mark, _)| (Arc::clone(name), *mark))
            .collect();
        keys.sort();
        keys.dedup();
        keys
    }

    /// Returns the sources, sorted.
    pub fn sources(&self) -> impl Iterator<Item = Source> + '_ {
        self.by_source.keys().copied()
    }
}

impl Counts {
    /// Returns whether the source is still counting: it was active within the shortest window of a
    /// report, 5 minutes.
    pub(crate) fn is_current(&self, now: u64) -> bool {
        now.saturating_sub(self.until) <= 5 * MINUTE
    }

    /// Returns how many of the `seconds` before `now` the counts cover.
    pub(crate) fn covered(&self, now: u64, seconds: u64) -> u64 {
        let end = if self.is_current(now) {
            now
        } else {
            self.until
        };
        let start = self.since.max(now.saturating_sub(seconds));
        end.saturating_sub(start)
    }

    fn series_mut(&mut self, service: &Arc<str>, mark: Mark) -> &mut Series {
        let find = |counts: &Counts, name: &str| {
            counts
                .series
                .binary_search_by(|(other, m, _)| (&**other, *m).cmp(&(name, mark)))
        };
        let mut name = Arc::clone(service);
        if find(self, &name).is_err() && self.series.len() >= MAX_SERIES {
            name = OTHER_SERVICES.into();
        }
        let at = find(self, &name).unwrap_or_else(|at| {
            self.series.insert(at, (name, mark, Series::default()));
            at
        });
        &mut self.series[at].2
    }

    fn merge(&mut self, other: &Counts) {
        self.since = self.since.min(other.since);
        self.until = self.until.max(other.until);
        for (service, mark, theirs) in &other.series {
            self.series_mut(service, *mark).merge(theirs);
        }
    }
}

/// Encodes the map as a list of pairs, because JSON allows only strings as keys.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Counts, Source};

    pub(super) fn serialize<S: Serializer>(
        by_source: &BTreeMap<Source, Counts>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(by_source)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<Source, Counts>, D::Error> {
        Ok(Vec::<(Source, Counts)>::deserialize(deserializer)?
            .into_iter()
            .collect())
    }
}
