use std::fmt;

/// The service-level objective of a service. The report on service-level burn measures against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// The part of the work that has to succeed.
    pub availability: Ratio,
    /// How soon answers have to begin.
    pub latency: Option<Latency>,
}

/// How soon answers have to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Latency {
    /// The part of the work whose answers have to begin in time.
    pub ratio: Ratio,
    /// The time limit, in milliseconds.
    pub within_ms: u32,
}

/// A ratio between 0 and 1 in steps of a thousandth of a percent, so that it is printed without
/// rounding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ratio(u32);

impl Ratio {
    /// Steps in 100%.
    const STEPS_PER_WHOLE: u32 = 100_000;
    /// Steps in 1%.
    const STEPS_PER_PERCENT: u32 = 1000;

    /// A ratio in thousandths of a percent; `None` above 100%.
    ///
    /// ```
    /// use acacia_config::Ratio;
    /// assert_eq!(Ratio::new(99_950).map(|ratio| ratio.to_string()), Some("99.95%".into()));
    /// ```
    #[must_use]
    pub const fn new(steps: u32) -> Option<Self> {
        if steps <= Self::STEPS_PER_WHOLE {
            Some(Ratio(steps))
        } else {
            None
        }
    }

    /// The ratio in thousandths of a percent.
    #[must_use]
    pub const fn steps(self) -> u32 {
        self.0
    }

    /// The ratio as a fraction of 1, for calculations.
    ///
    /// ```
    /// use acacia_config::Ratio;
    /// assert_eq!(Ratio::new(50_000).map(Ratio::fraction), Some(0.5));
    /// ```
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::STEPS_PER_WHOLE)
    }

    /// Parses text such as `99.95%`.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let text = text.strip_suffix('%')?.trim_end();
        let (percent, decimals) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !digits(percent) || !digits(decimals) || decimals.len() > 3 {
            return None;
        }
        let decimals: u32 = format!("{decimals:0<3}").parse().ok()?;
        let percent: u32 = percent.parse().ok()?;
        Ratio::new(
            percent
                .checked_mul(Self::STEPS_PER_PERCENT)?
                .checked_add(decimals)?,
        )
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (percent, decimals) = (
            self.0 / Self::STEPS_PER_PERCENT,
            self.0 % Self::STEPS_PER_PERCENT,
        );
        if decimals == 0 {
            return write!(f, "{percent}%");
        }
        let decimals = format!("{decimals:03}");
        write!(f, "{percent}.{}%", decimals.trim_end_matches('0'))
    }
}
