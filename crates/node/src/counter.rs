//! Counts of what traffic and control threads saw, by numbered code and by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use acacia_code::{Code, TABLE};

/// Codes are numbered below this.
const CODES: usize = 512;

/// What happened to a packet that was not dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// From the fabric.
    Ingress,
    /// To a backend server.
    Forwarded,
    /// To another balancer.
    Redirected,
    /// Answered as not run.
    Refused,
    /// A flow reset towards both ends.
    Ended,
    /// Not taken by the kernel for sending.
    Unsent,
    /// A notice or counts for the control thread that its full queue did not take.
    Untold,
}

/// Every kind with its name in metrics.
pub const KINDS: &[(Kind, &str)] = &[
    (Kind::Ingress, "ingress"),
    (Kind::Forwarded, "forwarded"),
    (Kind::Redirected, "redirected"),
    (Kind::Refused, "refused"),
    (Kind::Ended, "ended"),
    (Kind::Unsent, "unsent"),
    (Kind::Untold, "untold"),
];

/// The counts of one balancer since its start. Threads add without locks.
#[derive(Debug)]
pub struct Counter {
    codes: Vec<AtomicU64>,
    kinds: Vec<AtomicU64>,
}

impl Default for Counter {
    fn default() -> Self {
        let zeroes = |len| (0..len).map(|_| AtomicU64::new(0)).collect();
        Counter {
            codes: zeroes(CODES),
            kinds: zeroes(KINDS.len()),
        }
    }
}

impl Counter {
    /// Counts one event with a numbered code.
    ///
    /// ```
    /// use acacia_code::Code;
    /// let counter = acacia_node::counter::Counter::default();
    /// counter.code(Code::PacketTruncated);
    /// assert_eq!(counter.codes(), [(Code::PacketTruncated, 1)]);
    /// ```
    pub fn code(&self, code: Code) {
        if let Some(count) = self.codes.get(usize::from(code.number())) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts `number` events of a kind.
    pub fn kind(&self, kind: Kind, number: u64) {
        self.kinds[kind as usize].fetch_add(number, Ordering::Relaxed);
    }

    /// How many events of a kind there were.
    #[must_use]
    pub fn of(&self, kind: Kind) -> u64 {
        self.kinds[kind as usize].load(Ordering::Relaxed)
    }

    /// All counts as key=value pairs, for a line of the log.
    #[must_use]
    pub fn line(&self) -> String {
        let kinds = KINDS
            .iter()
            .map(|(kind, name)| format!("{name}={}", self.of(*kind)));
        let codes = self.codes();
        let codes = codes
            .iter()
            .map(|(code, count)| format!("{}={count}", code.label()));
        kinds.chain(codes).collect::<Vec<_>>().join(" ")
    }

    /// The codes that were counted at least once.
    #[must_use]
    pub fn codes(&self) -> Vec<(Code, u64)> {
        TABLE
            .iter()
            .map(|entry| entry.code)
            .filter_map(|code| {
                let count = self
                    .codes
                    .get(usize::from(code.number()))?
                    .load(Ordering::Relaxed);
                (count > 0).then_some((code, count))
            })
            .collect()
    }
}
