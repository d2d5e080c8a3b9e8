//! Clocks of the process: monotonic time and time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Monotonic time since the machine booted, including time spent suspended.
///
/// A process that was frozen (stopped, or its VM paused and resumed) must notice that its view of
/// the other balancers is out of date. A clock that stops during the freeze would hide that, so
/// this reads `CLOCK_BOOTTIME`.
///
/// ```
/// let earlier = acacia_node::clock::now();
/// assert!(acacia_node::clock::now() >= earlier);
/// ```
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("Linux has had CLOCK_BOOTTIME since version 2.6.39");
    Duration::from(time)
}

/// Time since the Unix epoch by the machine's clock; zero if the clock is set to before it.
///
/// ```
/// assert!(acacia_node::clock::time_of_day().as_secs() > 0);
/// ```
#[must_use]
pub fn time_of_day() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Converts a time to whole milliseconds, the unit of time in the flow crate.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(acacia_node::clock::millis(Duration::from_micros(1_500)), 1);
/// ```
#[must_use]
pub fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
