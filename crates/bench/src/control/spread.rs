use std::time::Duration;

use super::{JOINING, fleet::Fleet, size::Size};

/// Balancers, services, servers of each.
const SIZES: &[(u16, u32, u32)] = &[
    (8, 8, 6),
    (8, 4, 15),
    (8, 9, 15),
    (8, 36, 15),
    (16, 8, 6),
    (64, 8, 6),
];
/// Between two changes of a burst.
const APART: Duration = Duration::from_secs(2);
/// A tick: the least that can be told apart.
const LOOK: Duration = Duration::from_millis(50);
/// A change that takes longer counts as one that never spreads.
const PATIENCE: Duration = Duration::from_secs(60);

/// Puts a change into the store after a quiet time, and three more 2 s apart; prints how long the
/// first and the last take to be in force everywhere, with the connections' byte budget, and how long
/// one takes without. Calls to
/// the store and messages take a tick at most, so this is the least that the mechanism needs.
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
        fleet.keep_budget();
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

/// Seconds until the latest change is in force everywhere.
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
