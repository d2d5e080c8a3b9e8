use std::time::Duration;

use super::{JOINING, fleet::Fleet, size::Size};

/// Numbers of balancers, of services and of backend servers per service.
const SIZES: &[(u16, u32, u32)] = &[
    (8, 8, 6),
    (8, 4, 15),
    (8, 9, 15),
    (8, 36, 15),
    (16, 8, 6),
    (64, 8, 6),
];
/// Interval between two changes of a burst.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Duration of one tick, which is the resolution of the measurement.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a change counts as never in force.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Writes one configuration change to the store after an idle period, then three more 2 s apart.
/// Prints the time until the first and the last are in force on every balancer with the byte budget
/// of the connections, and the time that a single change takes without the budget. Store calls and
/// messages take at most one tick, so the results are lower bounds.
pub fn run(seed: u64) -> anyhow::Result<()> {
    for &(peers, services, servers) in SIZES {
        let size = Size {
            peers,
            servers,
            services,
            ..Size::default()
        };
        let mut fleet = Fleet::new(&size, seed)?;
        fleet.run(JOINING, &size);
        fleet.change();
        let unlimited = wait_until_in_force(&mut fleet, &size);
        fleet.run(JOINING, &size);
        fleet.enforce_byte_budget();
        fleet.change();
        let first = wait_until_in_force(&mut fleet, &size);
        fleet.run(JOINING, &size);
        for _ in 0..2 {
            fleet.change();
            fleet.run(CHANGE_INTERVAL, &size);
        }
        fleet.change();
        let last = wait_until_in_force(&mut fleet, &size);
        println!(
            "case=spread seed={seed} {size} unlimited_seconds={unlimited} first_seconds={first} \
             last_of_burst_seconds={last}"
        );
    }
    Ok(())
}

/// Seconds until the latest change is in force on every balancer.
fn wait_until_in_force(fleet: &mut Fleet, size: &Size) -> String {
    let mut elapsed = Duration::ZERO;
    while !fleet.is_in_force() {
        if elapsed >= TIMEOUT {
            return format!("over_{}", TIMEOUT.as_secs());
        }
        fleet.run(CHECK_INTERVAL, size);
        elapsed += CHECK_INTERVAL;
    }
    format!("{:.2}", elapsed.as_secs_f64())
}
