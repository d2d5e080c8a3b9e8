//! The process's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Time since the machine started, its suspension included.
///
/// A process that was frozen (stopped, or its VM paused and resumed) must notice that its view of
/// the others is old. A clock that stops with it would hide that, so this is `CLOCK_BOOTTIME`.
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

/// Time since 1970 by the machine's clock; before that, nothing.
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

/// Whole milliseconds of a time, as the flow crate counts them.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(acacia_node::clock::millis(Duration::from_micros(1_500)), 1);
/// ```
#[must_use]
pub fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
