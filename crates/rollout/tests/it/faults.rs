use crate::fixture::cases;
use proptest::prelude::*;

use crate::{fixture::ms, simulation::Simulation};

/// A change or a fault that happens to the balancers.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// An operator's change is accepted.
    Accept,
    /// A balancer can't reach the store any more.
    LoseStore(u16),
    /// A balancer can reach the store again.
    RegainStore(u16),
    /// Whether the store returns outdated values.
    Stale(bool),
    /// A balancer restarts without state.
    Replace(u16),
    /// A balancer's process is stopped, with its calls in progress.
    Pause(u16),
    /// A balancer's process continues.
    Resume(u16),
    /// Two balancers can't reach each other.
    Cut(u16, u16),
    /// A balancer receives an old heartbeat and an old document again, as if from another.
    Replay(u16, u16),
}

const BALANCERS: u16 = 6;

fn fault() -> impl Strategy<Value = Fault> {
    let one = 0..BALANCERS;
    let two = (0..BALANCERS, 0..BALANCERS);
    prop_oneof![
        3 => Just(Fault::Accept),
        2 => one.clone().prop_map(Fault::LoseStore),
        1 => one.clone().prop_map(Fault::RegainStore),
        1 => any::<bool>().prop_map(Fault::Stale),
        2 => one.clone().prop_map(Fault::Replace),
        1 => one.clone().prop_map(Fault::Pause),
        1 => one.prop_map(Fault::Resume),
        1 => two.clone().prop_map(|(a, b)| Fault::Cut(a, b)),
        2 => two.prop_map(|(a, b)| Fault::Replay(a, b)),
    ]
}

fn inject(simulation: &mut Simulation, fault: Fault) {
    match fault {
        Fault::Accept => simulation.accept(),
        Fault::LoseStore(id) => simulation.set_reachable(|reach| reach[usize::from(id)] = false),
        Fault::RegainStore(id) => simulation.set_reachable(|reach| reach[usize::from(id)] = true),
        Fault::Stale(stale) => simulation.stale = stale,
        Fault::Replace(id) => simulation.replace(id),
        Fault::Pause(id) => simulation.pause(id, true),
        Fault::Resume(id) => simulation.pause(id, false),
        Fault::Cut(a, b) => simulation.cut(a, b),
        Fault::Replay(a, b) => simulation.replay(a, b),
    }
}

proptest! {
    #![proptest_config(cases(96))]

    /// Balancers restart and are stopped, lose connections to the store and to each other, and
    /// receive outdated messages, while operators make changes. The simulation checks at every step
    /// that no balancer reverts to an older version, and that none becomes ready with an older
    /// version than its peers announced. After the faults have ended, every balancer must have the
    /// newest change.
    #[test]
    fn balancers_converge_after_faults_without_reverting(
        faults in prop::collection::vec((fault(), 1_u64..30), 1..25),
    ) {
        let mut simulation = Simulation::new(BALANCERS, 3);
        simulation.accept();
        simulation.run(ms(3_000));
        for (fault, tenths) in faults {
            inject(&mut simulation, fault);
            simulation.run(ms(tenths * 100));
        }
        simulation.heal();
        simulation.run(ms(8_000));
        prop_assert_eq!(simulation.lagging(), [0_u16; 0]);
    }
}
