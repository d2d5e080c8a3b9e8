use std::time::Duration;

use super::{FLAGGING, JOINING, fleet::Fleet, line::Line, size::Size};

/// Pins held by each balancer.
const PINS: &[u32] = &[0, 2_500, 5_000, 10_000, 20_000];
/// Interval at which the run checks whether the new balancer owns flows.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a replacement counts as failed.
const TIMEOUT: Duration = Duration::from_secs(1_800);

/// Stops one of eight balancers without a graceful shutdown and starts another in its place. Prints
/// the bytes that the others send to it and the time until it owns flows and all balancers know it.
pub fn run(seed: u64) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for &pins in PINS {
        let size = Size::default().with("pins", pins);
        let mut fleet = Fleet::new(&size, seed)?;
        fleet.run(JOINING, &size);
        fleet.pin(&size, seed);
        fleet.run(FLAGGING, &size);
        let held = fleet.pins();
        fleet.reset();
        fleet.replace()?;
        let mut elapsed = Duration::ZERO;
        while !fleet.is_steady() {
            fleet.run(CHECK_INTERVAL, &size);
            elapsed += CHECK_INTERVAL;
            anyhow::ensure!(
                elapsed < TIMEOUT,
                "the new balancer did not own flows within {TIMEOUT:?}"
            );
        }
        let (bytes, seconds) = (fleet.rest(), elapsed.as_secs_f64());
        println!(
            "case=replaced seed={seed} {size} pins_held={held} pins_after={} sent_bytes={bytes} \
             seconds={seconds:.1}",
            fleet.pins()
        );
        points.push((f64::from(pins), bytes as f64, seconds));
    }
    let bytes = Line::fit(points.iter().map(|(pins, bytes, _)| (*pins, *bytes)));
    let seconds = Line::fit(points.iter().map(|(pins, _, seconds)| (*pins, *seconds)));
    println!("case=replaced fit=sent_bytes seed={seed} {bytes}");
    println!("case=replaced fit=seconds seed={seed} {seconds}");
    Ok(())
}
