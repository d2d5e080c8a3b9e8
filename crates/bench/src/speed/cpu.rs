use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns the CPU time that the calling thread has used. Unlike wall-clock time, it excludes the
/// time in which other processes run.
///
/// ```
/// let earlier = acacia_bench::speed::cpu::thread();
/// assert!(acacia_bench::speed::cpu::thread() >= earlier);
/// ```
#[must_use]
pub fn thread() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .expect("Linux has had clocks of threads since version 2.6");
    Duration::from(time)
}
