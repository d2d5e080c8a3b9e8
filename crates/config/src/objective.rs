use std::fmt;

/// What the callers of a service are promised. The report on service-level burn measures against
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// How much of the work has to succeed.
    pub availability: Ratio,
    /// How quickly the answers have to begin.
    pub latency: Option<Latency>,
}

/// How quickly answers have to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Latency {
    /// How much of the work has to be within the time.
    pub ratio: Ratio,
    /// The time, in milliseconds.
    pub within_ms: u32,
}

/// A part of a whole in steps of a thousandth of a percent, so that what is printed is exactly
/// what is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ratio(u32);

impl Ratio {
    /// Steps in the whole.
    const WHOLE: u32 = 100_000;
    /// Steps in a percent.
    const PERCENT: u32 = 1000;

    /// A ratio in thousandths of a percent; none above the whole.
    ///
    /// ```
    /// use acacia_config::Ratio;
    /// assert_eq!(Ratio::new(99_950).map(|ratio| ratio.to_string()), Some("99.95%".into()));
    /// ```
    #[must_use]
    pub const fn new(steps: u32) -> Option<Self> {
        if steps <= Self::WHOLE {
            Some(Ratio(steps))
        } else {
            None
        }
    }

    /// In thousandths of a percent.
    #[must_use]
    pub const fn steps(self) -> u32 {
        self.0
    }

    /// As a fraction of 1, for calculations.
    ///
    /// ```
    /// use acacia_config::Ratio;
    /// assert_eq!(Ratio::new(50_000).map(Ratio::fraction), Some(0.5));
    /// ```
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE)
    }

    /// Reads text such as `99.95%`.
    pub(crate) fn read(text: &str) -> Option<Self> {
        let text = text.strip_suffix('%')?.trim_end();
        let (percent, rest) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !digits(percent) || !digits(rest) || rest.len() > 3 {
            return None;
        }
        let rest: u32 = format!("{rest:0<3}").parse().ok()?;
        let percent: u32 = percent.parse().ok()?;
        Ratio::new(percent.checked_mul(Self::PERCENT)?.checked_add(rest)?)
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (percent, rest) = (self.0 / Self::PERCENT, self.0 % Self::PERCENT);
        if rest == 0 {
            return write!(f, "{percent}%");
        }
        let rest = format!("{rest:03}");
        write!(f, "{percent}.{}%", rest.trim_end_matches('0'))
    }
}
