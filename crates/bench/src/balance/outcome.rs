use std::fmt;

use hdrhistogram::Histogram;

/// Results of the flows of one class that arrived during measurement.
#[derive(Debug)]
pub struct Mark {
    /// Number of flows that arrived.
    pub arrived: u64,
    /// Flows refused because their class had used up its share.
    pub refused_share: u64,
    /// Flows refused because the connection limit was reached.
    pub refused_connections: u64,
    /// Flows reset by the server, or not answered within the deadline.
    pub failed: u64,
    /// Flows answered within the deadline.
    pub good: u64,
    times: Histogram<u64>,
}

impl Default for Mark {
    fn default() -> Self {
        Mark {
            arrived: 0,
            refused_share: 0,
            refused_connections: 0,
            failed: 0,
            good: 0,
            times: Histogram::new(3).expect("three digits are valid"),
        }
    }
}

impl Mark {
    /// Records the time from a flow's arrival to its answer, in seconds.
    pub fn answered(&mut self, seconds: f64) {
        self.good += 1;
        self.times
            .record((seconds * 1e6) as u64)
            .expect("the histogram grows as needed");
    }

    /// Returns a quantile of the answer times, in milliseconds.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Measurements of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Utilisation of each server, work placed over work possible; leaves out a server that hangs
    /// or sheds connections.
    pub utilisations: Vec<f64>,
    /// Results of paying and of trial flows, in this order.
    pub marks: [Mark; 2],
    /// Number of flows placed.
    pub placed: u64,
    /// Flows placed on a server other than the first choice of the table of new flows.
    pub off_first_choice: u64,
    /// Flows placed on a server other than the first choice of the initial table.
    pub off_initial_table: u64,
    /// Number of changes to the table of new flows.
    pub tables: u64,
    /// Flows answered within the deadline, divided by the lesser of demand and capacity.
    pub goodput: f64,
}

impl Outcome {
    /// Ratio of the highest server utilisation to the mean.
    #[must_use]
    pub fn max_mean(&self) -> f64 {
        let mean = self.utilisations.iter().sum::<f64>() / self.utilisations.len().max(1) as f64;
        self.utilisations.iter().copied().fold(0.0, f64::max) / mean
    }

    /// Coefficient of variation of the server utilisations.
    #[must_use]
    pub fn spread(&self) -> f64 {
        let count = self.utilisations.len().max(1) as f64;
        let mean = self.utilisations.iter().sum::<f64>() / count;
        let square: f64 = self
            .utilisations
            .iter()
            .map(|utilisation| (utilisation - mean).powi(2))
            .sum();
        (square / count).sqrt() / mean
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "max_mean={:.3} spread={:.3}",
            self.max_mean(),
            self.spread()
        )?;
        for (name, mark) in ["paying", "trial"].iter().zip(&self.marks) {
            write!(
                f,
                " {name}_p50_ms={:.1} {name}_p99_ms={:.1} {name}_arrived={} \
                 {name}_refused_share={} {name}_refused_connections={} {name}_failed={}",
                mark.quantile(0.5),
                mark.quantile(0.99),
                mark.arrived,
                mark.refused_share,
                mark.refused_connections,
                mark.failed,
            )?;
        }
        let part = |count: u64| count as f64 / self.placed.max(1) as f64;
        write!(
            f,
            " exceptions={:.4} off_base={:.4} tables={} goodput={:.3}",
            part(self.off_first_choice),
            part(self.off_initial_table),
            self.tables,
            self.goodput
        )
    }
}
