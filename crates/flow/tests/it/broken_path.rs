use acacia_wire::{
    flow::Protocol,
    packet::{Kind, Packet},
};
use proptest::prelude::*;

use crate::{
    fixture::{config, key, open, packet, service, tables},
    fleet::Fleet,
};

/// A segment of flow `number`; `answered` is the number of answers that the caller has received.
fn segment(number: u32, answered: u32, payload: u16) -> Packet {
    let middle = packet(key(Protocol::Tcp, number), Kind::Middle, payload);
    Packet {
        sequence: 1_000 + answered * 100,
        acknowledgement: 5_000 + answered,
        ..middle
    }
}

proptest! {
    #![proptest_config(config(12))]

    /// A middlebox has lost the state of one connection, so the caller retransmits without an
    /// answer, while other connections work. That flow must be reset; flows that are idle for
    /// minutes, with or without keep-alives, must not.
    #[test]
    fn a_broken_flow_is_reset_and_an_idle_one_is_not(seed: u64, probe in 0..2u16) {
        let mut fleet = Fleet::new(3, seed, tables(service(Protocol::Tcp, 0..2, 1)));
        open(&mut fleet, 0, 40);

        let (mut due, mut pause) = (fleet.now, 400);
        let started_at = fleet.now;
        for second in 0..600u32 {
            // The path of flow 0 is broken, flow 1 is idle with keep-alives, flow 2 without; the
            // rest work.
            if fleet.now >= due && fleet.ends.is_empty() {
                fleet.spray(&segment(0, 0, 100));
                due = fleet.now + pause;
                pause = (pause * 2).min(60_000);
            }
            if second % 30 == 0 {
                fleet.spray(&segment(1, 0, probe));
            }
            (3..40).for_each(|number| fleet.spray(&segment(number, second, 100)));
            fleet.run(1_000);
        }

        let ended: Vec<_> = fleet.ends.keys().copied().collect();
        prop_assert_eq!(ended, vec![key(Protocol::Tcp, 0)]);
        let after = fleet.ends[&key(Protocol::Tcp, 0)] - started_at;
        prop_assert!(after <= 360_000, "ended after {} ms", after);
    }
}

/// A backend server hangs, and all its callers retransmit. Resetting their flows would make them
/// reconnect all at once, and the server may recover.
#[test]
fn a_hanging_server_keeps_its_flows() {
    let mut fleet = Fleet::new(3, 9, tables(service(Protocol::Tcp, 0..2, 1)));
    open(&mut fleet, 0, 40);

    for _ in 0..240 {
        (0..40).for_each(|number| fleet.spray(&segment(number, 0, 100)));
        fleet.run(1_000);
    }

    assert!(fleet.ends.is_empty());
}
