use acacia_flow::{
    control::{Settings, Stage},
    rank::Node,
    shard::Limits,
    snapshot::State,
};
use acacia_wire::{flow::Protocol, packet::Kind};
use proptest::prelude::*;

use crate::{
    fixture::{config, data, key, open, opening, packet, service, set_state, tables, talk},
    fleet::Fleet,
};

const LIMITS: Limits = Limits {
    pins: 400,
    openings: 150,
    cache: 100,
    hints: 100,
};

fn pins(fleet: &Fleet) -> Vec<usize> {
    let shards = |at: usize| fleet.balancers[at].shards.count();
    let count = |at: usize| {
        (0..shards(at))
            .map(|i| fleet.balancers[at].shards.at(i).len())
            .sum()
    };
    (0..fleet.balancers.len()).map(count).collect()
}

proptest! {
    #![proptest_config(config(8))]

    /// During a drain the service is flooded with openings and with packets of flows that were
    /// never opened, from spoofed addresses. Guards against evicting the pin of a live flow, which
    /// would reset it, and against control traffic above its rate.
    #[test]
    fn a_flood_evicts_no_pin(seed: u64, mixed: bool) {
        let service = service(Protocol::Tcp, 0..4, 1);
        let mut fleet = Fleet::with_limits(4, seed, tables(service), LIMITS);
        fleet.change(500, |s| set_state(s, 1, State::Draining));
        fleet.run(6_000);
        open(&mut fleet, 0, 80);
        let before: Vec<u64> = fleet.balancers.iter().map(|b| b.control_bytes).collect();

        for round in 0..40u32 {
            for number in 0..400 {
                let number = 100_000 + round * 400 + number;
                fleet.spray(&opening(number));
                if mixed {
                    fleet.flows.remove(&key(Protocol::Tcp, number));
                    fleet.spray(&packet(key(Protocol::Tcp, number + 50_000), Kind::Middle, 10));
                    fleet.flows.remove(&key(Protocol::Tcp, number + 50_000));
                }
            }
            fleet.run(500);
        }
        let at_peak = pins(&fleet);
        fleet.failures.retain(|failure| !failure.contains("not None"));
        let lost = talk(&mut fleet, 0, 80);

        prop_assert_eq!(&fleet.failures, &Vec::<String>::new());
        prop_assert_eq!(lost, Vec::<u32>::new(), "drops {:?}", fleet.drops);
        prop_assert!(at_peak.iter().all(|&pins| pins <= 2 * LIMITS.openings + 80), "{at_peak:?}");
        for (balancer, before) in fleet.balancers.iter().zip(before) {
            let rate = (balancer.control_bytes - before) / 20;
            prop_assert!(rate <= 2_500, "{} bytes/s of copies", rate);
        }
    }
}

/// Flows are closed, reset, or abandoned before they are established. If their pins stayed, the
/// memory of balancers that run for months would fill up.
#[test]
fn ended_flows_leave_no_state() {
    let mut fleet = Fleet::new(4, 8, tables(service(Protocol::Tcp, 0..4, 1)));
    fleet.change(500, |s| set_state(s, 1, State::Draining));
    fleet.run(6_000);
    open(&mut fleet, 0, 90);
    (90..150).for_each(|number| fleet.spray(&opening(number)));
    (0..90).for_each(|number| fleet.spray(&data(number)));
    fleet.run(100);
    let held: usize = pins(&fleet).iter().sum();

    for number in 0..90 {
        let kind = if number % 2 == 0 {
            Kind::Closing
        } else {
            Kind::Reset
        };
        fleet.spray(&packet(key(Protocol::Tcp, number), kind, 0));
    }
    fleet.run(170_000);

    assert!(held > 40, "only {held} pins");
    assert_eq!(pins(&fleet).iter().sum::<usize>(), 0);
    assert_eq!(fleet.failures, Vec::<String>::new());
}

/// Flows are idle for longer than the idle timeout. Their pins must stay until then, and expire
/// afterwards.
#[test]
fn pins_of_idle_flows_expire_after_the_idle_timeout() {
    let mut fleet = Fleet::new(3, 8, tables(service(Protocol::Tcp, 0..4, 1)));
    fleet.change(500, |s| set_state(s, 1, State::Draining));
    fleet.run(6_000);
    open(&mut fleet, 0, 60);
    let held: usize = pins(&fleet).iter().sum();

    fleet.turn_interval = 1_000;
    fleet.run(acacia_flow::pin::IDLE_TIMEOUT - 60_000);
    let before: usize = pins(&fleet).iter().sum();
    fleet.run(120_000);

    assert!(held >= before && before > 0, "{held} then {before} pins");
    assert_eq!(pins(&fleet).iter().sum::<usize>(), 0);
}

/// A balancer with many pins dies, and all others copy pins to its successor. Sent at once, the
/// copies would delay heartbeats on small machines; sent too slowly, the death of a second balancer
/// in the meantime would lose pins.
#[test]
fn pin_copies_stay_within_their_rate() {
    let settings = Settings {
        copy_rate: 150,
        ..Settings::default()
    };
    let tables = tables(service(Protocol::Tcp, 0..4, 1));
    let mut fleet = Fleet::with(4, 8, tables, Limits::default(), settings);
    fleet.change(500, |s| set_state(s, 1, State::Draining));
    fleet.run(6_000);
    open(&mut fleet, 0, 1_200);
    fleet.crash(2);
    fleet.start(Node {
        id: 2,
        incarnation: 2,
    });
    let (started_at, before): (u64, Vec<u64>) = (
        fleet.now,
        fleet.balancers.iter().map(|b| b.control_bytes).collect(),
    );

    while fleet.balancers[2].control.stage() != Stage::Ready && fleet.now < started_at + 120_000 {
        fleet.run(1_000);
    }

    assert_eq!(fleet.balancers[2].control.stage(), Stage::Ready);
    let seconds = (fleet.now - started_at) / 1_000;
    for (balancer, before) in fleet.balancers.iter().zip(before) {
        let sent = balancer.control_bytes - before;
        assert!(sent <= 150 * (seconds + 3), "{sent} bytes in {seconds} s");
    }
    assert!(
        fleet
            .balancers
            .iter()
            .any(|balancer| balancer.control_bytes > 450)
    );
}
