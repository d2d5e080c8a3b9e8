use std::time::Duration;

use acacia_load::{
    controller::Controller,
    limits::Limits,
    pool::{Class, Host, Mark, Pool, Server},
    tally::Tally,
    track::Tracker,
};
use acacia_wire::{
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};
use rstest::rstest;

const SERVER: Server = Server(0);

fn packet(kind: Kind, payload: u16, sequence: u32, acknowledgement: u32) -> Packet {
    let key = Key {
        client: [192, 0, 2, 1].into(),
        service: [198, 51, 100, 1].into(),
        client_port: 40_000,
        service_port: 443,
        protocol: Protocol::Tcp,
    };
    Packet {
        key,
        kind,
        payload,
        sequence,
        acknowledgement,
    }
}

/// Passes packets, with their times in milliseconds, to a tracker that has seen immediately
/// acknowledged answers before.
fn feed(packets: &[(u64, Packet)]) -> Tally {
    let mut tracker = Tracker::new(100, Duration::from_secs(10));
    let mut tally = Tally::new(1, 1);
    for _ in 0..40 {
        let data = packet(Kind::Middle, 300, 101, 500);
        let prompt = packet(Kind::Middle, 0, 401, 500 + 5_000);
        tracker.observe(&data, SERVER, 0, Duration::ZERO, &mut tally);
        tracker.observe(&prompt, SERVER, 0, Duration::ZERO, &mut tally);
    }
    let mut tally = Tally::new(1, 1);
    for (at, packet) in packets {
        tracker.observe(packet, SERVER, 0, Duration::from_millis(*at), &mut tally);
    }
    tally
}

/// The time between an opening and the packet right after it is the network's. If a balancer sees
/// the opening and then only the acknowledgement of the answer, it must not take the time between
/// them for the network's, or a slow server would look like a distant caller.
#[rstest]
#[case(packet(Kind::Middle, 0, 101, 500), 1)]
#[case(packet(Kind::Middle, 300, 101, 500), 1)]
#[case(packet(Kind::Middle, 0, 401, 5_500), 0)]
fn an_opening_is_timed_by_the_packet_right_after_it(#[case] next: Packet, #[case] completed: u32) {
    let tally = feed(&[
        (0, packet(Kind::Opening { isn: 100 }, 0, 100, 0)),
        (4, next),
    ]);
    assert_eq!(tally.servers[0].completed, completed);
    assert_eq!(
        tally.servers[0].opening,
        Duration::from_millis(4) * completed
    );
}

/// Callers delay the acknowledgement of a single segment, send their next request after a pause, and
/// close at any time. Such packets show that there was an answer, but not how long the server took.
#[rstest]
#[case::two_segments(packet(Kind::Middle, 0, 401, 500 + 2_800), 1, 1)]
#[case::one_segment(packet(Kind::Middle, 0, 401, 500 + 900), 1, 0)]
#[case::later_part(packet(Kind::Middle, 0, 401, 500 + 80_000), 1, 0)]
#[case::next_request(packet(Kind::Middle, 300, 401, 500 + 2_800), 1, 0)]
#[case::closing(packet(Kind::Closing, 0, 401, 500 + 2_800), 1, 0)]
#[case::resent_request(packet(Kind::Middle, 300, 101, 500), 0, 0)]
fn an_answer_is_timed_only_if_it_measures_the_server(
    #[case] next: Packet,
    #[case] answered: u32,
    #[case] timed: u32,
) {
    let tally = feed(&[(0, packet(Kind::Middle, 300, 101, 500)), (20, next)]);
    let count = tally.servers[0];
    assert_eq!((count.answered, count.timed), (answered, timed));
    assert_eq!(count.answering, Duration::from_millis(20) * timed);
}

/// A service whose answers are all tiny has no immediate acknowledgements. All its answers are
/// timed, since a biased time is better than none.
#[test]
fn without_immediate_acknowledgements_all_answers_are_timed() {
    let mut tracker = Tracker::new(100, Duration::from_secs(10));
    let mut tally = Tally::new(1, 1);
    let data = packet(Kind::Middle, 300, 101, 500);
    tracker.observe(&data, SERVER, 0, Duration::ZERO, &mut tally);
    let small = packet(Kind::Middle, 0, 401, 600);
    tracker.observe(&small, SERVER, 0, Duration::from_millis(45), &mut tally);
    assert_eq!(tally.servers[0].timed, 1);
}

/// Feeds send a short line per second. The packets of a flow are spread over the balancers, so the
/// next acknowledgement that a balancer sees may be for a line sent seconds after the first one.
/// When that was taken for the answer time, three idle servers seemed to have a capacity of about
/// half a flow per second (`event=refusing work_per_slot=3.57 capacity=Some(0.6)`), and new flows
/// were refused.
#[test]
fn later_lines_of_feeds_make_no_server_look_busy() {
    feeds_make_no_server_look_busy(|_| 7 * 5);
}

/// The same with lines so long that callers acknowledge each one immediately.
#[test]
fn later_long_lines_of_feeds_make_no_server_look_busy() {
    feeds_make_no_server_look_busy(|lines| 3_000 * lines);
}

/// Simulates feeds with a line per second. One to four lines after the caller's data, this balancer
/// sees an acknowledgement of `acknowledged(lines)` bytes.
fn feeds_make_no_server_look_busy(acknowledged: fn(u32) -> u32) {
    let (mut tracker, mut tally) = (
        Tracker::new(1_000, Duration::from_secs(20)),
        Tally::new(1, 1),
    );
    let host = Host {
        slots: 2,
        connections: 2_000,
    };
    let class = Class {
        name: "feeds".into(),
        mark: Mark::Paying,
        share: 1.0,
    };
    let pool = Pool {
        revision: 1,
        hosts: vec![host],
        classes: vec![class],
    };
    let mut controller = Controller::new(pool, Limits::default(), 1);

    for second in 0..30u64 {
        for feed in 0..20u16 {
            let flow = (second as u16) << 8 | feed;
            let lines = 1 + u32::from(feed) % 4;
            let asked = Duration::from_secs(second);
            let acknowledged_at = asked + Duration::from_secs(lines.into());
            let mut data = packet(Kind::Middle, 30, 101, 500);
            data.key.client_port = flow;
            tracker.observe(&data, SERVER, 0, asked, &mut tally);
            let mut line = packet(Kind::Middle, 0, 131, 500 + acknowledged(lines));
            line.key.client_port = flow;
            tracker.observe(&line, SERVER, 0, acknowledged_at, &mut tally);
        }
        controller.absorb(&std::mem::replace(&mut tally, Tally::new(1, 1)));
        let (_, plan) = controller.tick(1, Duration::from_secs(second + 1));

        assert_eq!(plan.rates, None, "in second {second}");
        assert_eq!(controller.progress(), None, "in second {second}");
    }
}

/// Packets of a flow whose answer of 3 kB is acknowledged `took` milliseconds after the caller's data.
fn answered_after(took: u64) -> [(u64, Packet); 2] {
    let data = packet(Kind::Middle, 300, 101, 500);
    [(0, data), (took, packet(Kind::Middle, 0, 401, 500 + 3_000))]
}

/// Number of answers after which a tracker knows whether a service's answers end.
const KNOWN: u16 = 250;

/// Returns how many of the last flow's answers were timed, if `KNOWN` other flows of the same service
/// went before it whose last packet came a second after the answer.
fn timed_after(last: Packet, took: u64) -> u32 {
    let mut tracker = Tracker::new(1_000, Duration::from_secs(10));
    let mut observe = |flow: u16, packets: &[(u64, Packet)]| {
        let mut tally = Tally::new(1, 1);
        for (at, mut packet) in packets.iter().copied() {
            packet.key.client_port = flow;
            tracker.observe(&packet, SERVER, 0, Duration::from_millis(at), &mut tally);
        }
        tally.servers[0].timed
    };
    for flow in 0..KNOWN {
        observe(flow, &answered_after(20));
        observe(flow, &[(1_020, last)]);
    }
    observe(KNOWN, &answered_after(took))
}

/// A flood keeps servers so busy that answers take seconds. Where answers are known to end, as the
/// callers' next packets show, their times still count, so that the flood is noticed.
#[rstest]
#[case::next_request(packet(Kind::Middle, 300, 401, 3_500))]
#[case::closing(packet(Kind::Closing, 0, 401, 3_500))]
fn late_answers_are_timed_where_answers_end(#[case] last: Packet) {
    assert_eq!(timed_after(last, 2_000), 1);
}

/// Packets that leave open whether the answer had ended, and acknowledgements of later lines, must
/// not make the times of late lines count.
#[rstest]
#[case::later_line(packet(Kind::Middle, 0, 401, 6_500))]
#[case::unseen_request(packet(Kind::Middle, 0, 701, 6_500))]
#[case::closing_after_more(packet(Kind::Closing, 0, 401, 6_500))]
fn late_answers_are_not_timed_where_answers_may_go_on(#[case] last: Packet) {
    assert_eq!(timed_after(last, 2_000), 0);
    assert_eq!(timed_after(last, 20), 1, "prompt ones are timed");
}

/// A flood of half-open flows must not use unbounded memory on a small VM.
#[test]
fn the_memory_is_bounded() {
    let mut tracker = Tracker::new(10, Duration::from_secs(10));
    let mut tally = Tally::new(1, 1);
    for port in 0..1_000 {
        let mut opening = packet(Kind::Opening { isn: 1 }, 0, 1, 0);
        opening.key.client_port = port;
        tracker.observe(&opening, SERVER, 0, Duration::ZERO, &mut tally);
    }
    assert_eq!(tracker.len(), 10);
}
