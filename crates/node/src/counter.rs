//! Event counters shared by the traffic and control threads, by numbered code and by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use acacia_code::{Code, TABLE};

/// Upper bound (exclusive) on the numbers of codes.
const CODE_COUNT: usize = 512;

/// An event that is counted without a code: what became of a packet that was not dropped, or a
/// message that was lost on its way between threads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A packet received from the fabric.
    Ingress,
    /// A packet forwarded to a backend server.
    Forwarded,
    /// A packet redirected to another balancer.
    Redirected,
    /// A packet answered with a refusal, which tells the caller that no server has processed it.
    Refused,
    /// A flow that the balancer ended with a reset.
    Ended,
    /// A datagram that the kernel did not accept for sending.
    Unsent,
    /// A notice or counts that were dropped because the control thread's queue was full.
    Untold,
}

/// Every kind and its name in metrics.
pub const KINDS: &[(Kind, &str)] = &[
    (Kind::Ingress, "ingress"),
    (Kind::Forwarded, "forwarded"),
    (Kind::Redirected, "redirected"),
    (Kind::Refused, "refused"),
    (Kind::Ended, "ended"),
    (Kind::Unsent, "unsent"),
    (Kind::Untold, "untold"),
];

/// The counters of one balancer since it started. Threads increment them without locks.
#[derive(Debug)]
pub struct Counter {
    codes: Vec<AtomicU64>,
    kinds: Vec<AtomicU64>,
}

impl Default for Counter {
    fn default() -> Self {
        let zeroes = |len| (0..len).map(|_| AtomicU64::new(0)).collect();
        Counter {
            codes: zeroes(CODE_COUNT),
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

    /// Returns the number of events of a kind.
    #[must_use]
    pub fn of(&self, kind: Kind) -> u64 {
        self.kinds[kind as usize].load(Ordering::Relaxed)
    }

    /// Formats all counts as key=value pairs for the log.
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

    /// Returns the codes that were counted at least once, with their counts.
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
