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
const APART: Duration = Duration::from_secs(2);
/// Duration of one tick, which is the resolution of the measurement.
const LOOK: Duration = Duration::from_millis(50);
/// Time after which a change counts as never in force.
const PATIENCE: Duration = Duration::from_secs(60);

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
        let unlimited = wait(&mut fleet, &size);
        fleet.run(JOINING, &size);
        fleet.enforce_byte_budget();
        fleet.change();
        let first = wait(&mut fleet, &size);
        fleet.run(JOINING, &size);
        for _ in 0..2 {
            fleet.change();
            fleet.run(APART, &size);
        }
        fleet.change();
        let last = wait(&mut fleet, &size);
        println!(
            "case=spread seed={seed} {size} unlimited_seconds={unlimited} first_seconds={first} \
             last_of_burst_seconds={last}"
        );
    }
    Ok(())
}

/// Seconds until the latest change is in force on every balancer.
fn wait(fleet: &mut Fleet, size: &Size) -> String {
    let mut passed = Duration::ZERO;
    while !fleet.is_in_force() {
        if passed >= PATIENCE {
            return format!("over_{}", PATIENCE.as_secs());
        }
        fleet.run(LOOK, size);
        passed += LOOK;
    }
    format!("{:.2}", passed.as_secs_f64())
}
