use crate::fixture::cases;
use proptest::prelude::*;

use crate::{fixture::ms, world::World};

/// Something that happens to the fleet.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// An operator's change is accepted.
    Accept,
    /// A balancer loses the store.
    LoseStore(u16),
    /// A balancer reaches the store again.
    FindStore(u16),
    /// The store answers older values, or stops doing so.
    Stale(bool),
    /// A balancer is replaced by a new one without memory.
    Replace(u16),
    /// A balancer is stopped, unaware, with all that it was waiting for.
    Pause(u16),
    /// It goes on.
    Resume(u16),
    /// Two balancers can't reach each other.
    Cut(u16, u16),
    /// A heartbeat and a document from long ago arrive again.
    Replay(u16, u16),
}

const BALANCERS: u16 = 6;

fn fault() -> impl Strategy<Value = Fault> {
    let one = 0..BALANCERS;
    let two = (0..BALANCERS, 0..BALANCERS);
    prop_oneof![
        3 => Just(Fault::Accept),
        2 => one.clone().prop_map(Fault::LoseStore),
        1 => one.clone().prop_map(Fault::FindStore),
        1 => any::<bool>().prop_map(Fault::Stale),
        2 => one.clone().prop_map(Fault::Replace),
        1 => one.clone().prop_map(Fault::Pause),
        1 => one.prop_map(Fault::Resume),
        1 => two.clone().prop_map(|(a, b)| Fault::Cut(a, b)),
        2 => two.prop_map(|(a, b)| Fault::Replay(a, b)),
    ]
}

fn bring_about(world: &mut World, fault: Fault) {
    match fault {
        Fault::Accept => world.accept(),
        Fault::LoseStore(id) => world.set_store(|reach| reach[usize::from(id)] = false),
        Fault::FindStore(id) => world.set_store(|reach| reach[usize::from(id)] = true),
        Fault::Stale(stale) => world.stale = stale,
        Fault::Replace(id) => world.replace(id),
        Fault::Pause(id) => world.pause(id, true),
        Fault::Resume(id) => world.pause(id, false),
        Fault::Cut(a, b) => world.cut(a, b),
        Fault::Replay(a, b) => world.replay(a, b),
    }
}

proptest! {
    #![proptest_config(cases(96))]

    /// Balancers are replaced and paused, lose the store and each other, and hear old news, while
    /// operators make changes. The world itself checks, at every step, that no balancer goes back
    /// and that none serves by less than it could have learned. When the faults are over, every
    /// balancer has the newest change.
    #[test]
    fn faults_revert_nothing_and_leave_no_one_behind(
        faults in prop::collection::vec((fault(), 1_u64..30), 1..25),
    ) {
        let mut world = World::new(BALANCERS, 3);
        world.accept();
        world.run(ms(3_000));
        for (fault, tenths) in faults {
            bring_about(&mut world, fault);
            world.run(ms(tenths * 100));
        }
        world.heal();
        world.run(ms(8_000));
        prop_assert_eq!(world.lagging(), [0_u16; 0]);
    }
}
