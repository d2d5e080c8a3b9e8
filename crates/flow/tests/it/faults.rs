use acacia_flow::{rank::Node, snapshot::State};
use acacia_wire::flow::Protocol;
use proptest::prelude::*;
use rstest::rstest;

use crate::{
    fixture::{config, open, service, set_state, tables, talk},
    fleet::Fleet,
};

#[derive(Debug, Clone)]
enum Fault {
    Suspend(u16, u64),
    Partition(u16, u64),
    Crash(u16),
    Drain(u16),
    Restore(u16),
}

fn faults() -> impl Strategy<Value = Vec<(Fault, u64)>> {
    let fault = prop_oneof![
        (0..5u16, 500..25_000u64).prop_map(|(id, time)| Fault::Suspend(id, time)),
        (1..5u16, 500..25_000u64).prop_map(|(size, time)| Fault::Partition(size, time)),
        (0..5u16).prop_map(Fault::Crash),
        (0..5u16).prop_map(Fault::Drain),
        (0..5u16).prop_map(Fault::Restore),
    ];
    prop::collection::vec((fault, 200..9_000u64), 2..6)
}

/// Injects a fault; callers keep opening flows and sending data while it lasts.
fn inject(fleet: &mut Fleet, fault: &Fault, opened: &mut u32) {
    match *fault {
        Fault::Suspend(id, time) => {
            let balancer = &mut fleet.balancers[usize::from(id)];
            balancer.suspended_at = fleet.now;
            balancer.suspended_until = fleet.now + time;
            run_with_traffic(fleet, time + 1_000, opened);
        }
        Fault::Partition(size, time) => {
            let partitioned = fleet.balancers.iter_mut().take(usize::from(size));
            partitioned.for_each(|balancer| balancer.group = 1);
            run_with_traffic(fleet, time, opened);
            fleet
                .balancers
                .iter_mut()
                .for_each(|balancer| balancer.group = 0);
        }
        Fault::Crash(id) => {
            let node = fleet.balancers[usize::from(id)].node;
            fleet.crash(id);
            run_with_traffic(fleet, 3_000, opened);
            fleet.start(Node {
                id,
                incarnation: node.incarnation + 1,
            });
            // Two crashes within one handover lose pins; the design tolerates only one.
            run_with_traffic(fleet, 15_000, opened);
        }
        Fault::Drain(server) => fleet.change(3_000, |s| set_state(s, server, State::Draining)),
        Fault::Restore(server) => fleet.change(3_000, |s| set_state(s, server, State::Up)),
    }
}

/// Runs for `time` milliseconds while callers open flows and send data.
fn run_with_traffic(fleet: &mut Fleet, time: u64, opened: &mut u32) {
    let end = fleet.now + time;
    while fleet.now < end {
        (*opened..*opened + 6).for_each(|number| fleet.spray(&crate::fixture::opening(number)));
        *opened += 6;
        fleet.run(300);
        let started = opened.saturating_sub(40);
        for number in started..*opened {
            let truth = fleet.flows[&crate::fixture::key(Protocol::Tcp, number)];
            if truth.server.is_some() {
                fleet.spray(&crate::fixture::data(number));
            }
        }
    }
}

/// Injects all faults in order. Returns the fleet and the flows that were lost.
fn inject_all(seed: u64, faults: &[(Fault, u64)]) -> (Fleet, Vec<u32>) {
    let mut fleet = Fleet::new(5, seed, tables(service(Protocol::Tcp, 0..5, 1)));
    fleet.faults.loss = 0.02;
    fleet.faults.delay = 15;
    open(&mut fleet, 0, 40);
    fleet.change(1_000, |s| set_state(s, 1, State::Draining));
    fleet.run(5_000);
    open(&mut fleet, 40, 80);

    let mut opened = 80;
    for (fault, wait) in faults {
        inject(&mut fleet, fault, &mut opened);
        run_with_traffic(&mut fleet, *wait, &mut opened);
    }
    fleet.run(20_000);
    let lost = talk(&mut fleet, 0, opened);
    (fleet, lost)
}

proptest! {
    #![proptest_config(config(32))]

    /// Balancers are suspended for seconds and resume with stale state, data centres are
    /// partitioned and reconnected, processes die and their successors start empty, all while
    /// backend servers drain. A packet forwarded on stale state would go to a wrong server, which
    /// resets the flow.
    #[test]
    fn faults_send_no_packet_to_a_wrong_server(seed: u64, faults in faults()) {
        let (fleet, lost) = inject_all(seed, &faults);

        prop_assert_eq!(&fleet.failures, &Vec::<String>::new());
        prop_assert_eq!(lost, Vec::<u32>::new(), "drops {:?}", fleet.drops);
    }
}

/// Regression cases that once sent packets to wrong servers, each found by the property test above.
#[rstest]
// A balancer partitioned from all others considered itself an owner that knows all pins.
#[case(1102959262888548029, &[(Fault::Partition(1, 8_273), 4_210), (Fault::Restore(3), 759),
    (Fault::Crash(1), 4_199)])]
// An owner suspended while a flow was established let its pin expire as an abandoned opening.
#[case(3148189139965600609, &[(Fault::Restore(4), 8_562), (Fault::Suspend(0, 12_535), 2_319),
    (Fault::Suspend(2, 11_806), 1_886), (Fault::Crash(3), 2_880),
    (Fault::Suspend(0, 13_376), 3_487)])]
// Flags counted as acknowledged while a member was suspected dead; it returned without them.
#[case(957878453245498500, &[(Fault::Suspend(3, 13_041), 7_201), (Fault::Restore(1), 7_125)])]
// A joining owner was skipped in the chain because it had not been heard from yet.
#[case(15909224012766348522, &[(Fault::Restore(0), 5_101), (Fault::Restore(0), 3_604),
    (Fault::Crash(3), 1_634), (Fault::Partition(4, 2_850), 4_874), (Fault::Crash(0), 3_940)])]
// A balancer that rejoined after a suspension did not request flags, and never became ready.
#[case(2, &[(Fault::Suspend(3, 15_682), 6_899), (Fault::Restore(0), 5_613),
    (Fault::Suspend(0, 23_649), 2_069)])]
// A partition dropped the packet that established a flow. One owner queried the other too late,
// during the next partition, and only once. It let the pin expire after 75 s.
#[case(17999221759370200563, &[(Fault::Crash(2), 1_775), (Fault::Suspend(1, 14_908), 3_050),
    (Fault::Partition(3, 23_605), 7_866), (Fault::Partition(2, 15_523), 2_164),
    (Fault::Partition(2, 10_708), 7_484)])]
// The loss of an owner was noticed only after the sweep that copied its flows' pins to its
// successor. A pin whose establishing packet had been lost on its way to the other owner was copied
// as an opening, and expired.
#[case(3890623496091016295, &[(Fault::Crash(1), 4_624), (Fault::Restore(1), 4_692),
    (Fault::Crash(0), 7_855), (Fault::Partition(1, 21_903), 6_704),
    (Fault::Suspend(0, 12_164), 6_678)])]
// A query about a flow, or its answer, was dropped when the handover restarted after a crash, and
// was never repeated. The owner no longer treated packets as proof of the flow, and let the pin
// expire.
#[case(213611442841578274, &[(Fault::Partition(3, 20_670), 5_961), (Fault::Restore(2), 3_705),
    (Fault::Suspend(2, 12_077), 8_321), (Fault::Crash(0), 1_747)])]
// The caller's next packet, lost until then, reached the right server 3 ms after the server had
// abandoned the opening. The test counted the packet as lost.
#[case(7069645047071752769, &[(Fault::Crash(0), 1_483), (Fault::Crash(0), 2_245)])]
fn found_cases_send_no_packet_to_a_wrong_server(
    #[case] seed: u64,
    #[case] faults: &[(Fault, u64)],
) {
    let (fleet, lost) = inject_all(seed, faults);

    assert_eq!(fleet.failures, Vec::<String>::new());
    assert_eq!(lost, Vec::<u32>::new(), "drops {:?}", fleet.drops);
}
