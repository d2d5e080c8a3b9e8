use std::sync::Arc;

use acacia_cookie::{
    cookie::Cookie,
    flow::{Counts, Observation, Table},
};
use acacia_wire::packet::{Kind, Packet};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{middle, ms, opening};

fn host() -> (Cookie, Arc<str>) {
    (Cookie::of("i-1", 0), "i-1".into())
}

/// A table with one flow, of which the SYN has been answered.
fn open() -> Table {
    let (cookie, server) = host();
    let mut table = Table::default();
    table.record_opening(&opening(1), cookie, &server, ms(0));
    assert_eq!(
        table.observe(&middle(1, 101, 0, 50), cookie, &server, ms(4)),
        Observation::Opened(ms(4))
    );
    table
}

#[test]
fn data_retransmitted_after_a_gap_shows_that_the_server_did_not_answer() {
    let ((cookie, server), mut table) = (host(), open());
    let request = middle(1, 101, 200, 50);

    assert_eq!(
        table.observe(&request, cookie, &server, ms(10)),
        Observation::RequestSent
    );
    assert_eq!(
        table.observe(&request, cookie, &server, ms(210)),
        Observation::Unanswered
    );
}

/// Guards against suspecting live servers after each pause of a balancer: while it is frozen, or its
/// queue is full, a packet and its retransmission reach it together, and the server had no time to
/// answer the original.
#[test]
fn a_retransmission_that_arrives_with_the_original_shows_nothing() {
    let ((cookie, server), mut table) = (host(), open());
    let request = middle(1, 101, 200, 50);
    table.observe(&request, cookie, &server, ms(1_000));

    assert_eq!(
        table.observe(&request, cookie, &server, ms(1_001)),
        Observation::None
    );
}

#[test]
fn an_acknowledgement_without_data_gives_the_response_time() {
    let ((cookie, server), mut table) = (host(), open());
    table.observe(&middle(1, 101, 200, 50), cookie, &server, ms(10));

    let observation = table.observe(&middle(1, 301, 0, 1_250), cookie, &server, ms(40));

    assert_eq!(observation, Observation::AnsweredAfter(ms(30)));
}

/// A caller may pause for seconds and acknowledge the last answer with its next request. Guards against
/// counting the pause as the server's response time, which would make it look the slowest of all.
#[test]
fn an_acknowledgement_with_the_next_request_gives_no_response_time() {
    let ((cookie, server), mut table) = (host(), open());
    table.observe(&middle(1, 101, 200, 50), cookie, &server, ms(10));

    let observation = table.observe(&middle(1, 301, 200, 90), cookie, &server, ms(5_000));

    assert_eq!(observation, Observation::Answered);
}

/// Guards against response times that run from a request to the answer to a later one, where routers spread a
/// flow's packets over balancers. They make idle servers look slow, and callers are refused.
#[test]
fn an_answer_to_a_request_seen_elsewhere_gives_no_response_time() {
    let ((cookie, server), mut table) = (host(), open());
    table.observe(&middle(1, 101, 200, 50), cookie, &server, ms(10));

    let observation = table.observe(&middle(1, 501, 0, 2_500), cookie, &server, ms(5_000));

    assert_eq!(observation, Observation::Answered);
}

/// As above, for the time from a SYN to the first answer.
#[test]
fn a_flow_whose_first_packets_are_seen_elsewhere_gives_no_opening_time() {
    let (cookie, server) = host();
    let mut table = Table::default();
    table.record_opening(&opening(1), cookie, &server, ms(0));

    let observation = table.observe(&middle(1, 301, 0, 1_250), cookie, &server, ms(5_000));

    assert_eq!(observation, Observation::Answered);
}

#[test]
fn sequence_numbers_may_wrap_around() {
    let (cookie, server) = host();
    let mut table = Table::default();
    table.observe(
        &middle(1, u32::MAX - 10, 0, u32::MAX - 5),
        cookie,
        &server,
        ms(0),
    );

    assert_eq!(
        table.observe(
            &middle(1, u32::MAX - 10, 100, u32::MAX - 5),
            cookie,
            &server,
            ms(1)
        ),
        Observation::RequestSent
    );
    assert_eq!(
        table.observe(&middle(1, 89, 0, 20), cookie, &server, ms(9)),
        Observation::AnsweredAfter(ms(8))
    );
}

#[test]
fn flows_are_counted_until_they_are_closed() {
    let ((cookie, server), mut table) = (host(), open());
    assert_eq!(table.counts("i-1").flows, 1);

    table.observe(
        &Packet {
            kind: Kind::Closing,
            ..middle(1, 101, 0, 50)
        },
        cookie,
        &server,
        ms(9),
    );

    assert_eq!(table.counts("i-1").flows, 0);
    table.expire(ms(20_000), ms(3_010));
    assert_eq!(table.len(), 0);
}

/// A caller closes its flow and then acknowledges the server's FIN. Guards against taking that
/// acknowledgement for a packet of a flow from another balancer: each short flow then counted at its
/// server for 20 s more, a request on it seemed pending, and servers with many short flows got too few
/// new ones.
#[test]
fn the_last_acknowledgement_of_a_closed_flow_adds_no_flow() {
    let ((cookie, server), mut table) = (host(), open());
    table.observe(&middle(1, 101, 200, 50), cookie, &server, ms(10));
    let closing = Packet {
        kind: Kind::Closing,
        ..middle(1, 301, 0, 1_250)
    };
    table.observe(&closing, cookie, &server, ms(40));

    let observation = table.observe(&middle(1, 302, 0, 1_251), cookie, &server, ms(45));

    assert_eq!(observation, Observation::None);
    assert_eq!(table.counts("i-1"), Counts::default());
}

/// A caller gives up a request that has not been answered, and closes or resets its flow.
#[rstest]
#[case::closed(Kind::Closing)]
#[case::reset(Kind::Reset)]
fn a_flow_that_ends_before_the_answer_is_abandoned(#[case] kind: Kind) {
    let ((cookie, server), mut table) = (host(), open());
    table.observe(&middle(1, 101, 200, 50), cookie, &server, ms(10));
    assert_eq!(table.counts("i-1").pending, 1);

    let end = Packet {
        kind,
        ..middle(1, 301, 0, 50)
    };
    let observation = table.observe(&end, cookie, &server, ms(2_000));

    assert_eq!(observation, Observation::Abandoned);
    assert_eq!(table.counts("i-1"), Counts::default());
}

/// After a server resets a flow, or its caller vanishes, no packet of it passes a balancer again. Guards
/// against counting its request as pending until the flow expires, which would make the server look
/// loaded.
#[test]
fn a_pending_request_is_given_up_after_seconds_without_a_packet() {
    let ((cookie, server), mut table) = (host(), open());
    table.observe(&middle(1, 101, 200, 50), cookie, &server, ms(10));

    let given_up = table.expire(ms(20_000), ms(2_011));

    assert_eq!(given_up, [server]);
    let counts = table.counts("i-1");
    assert_eq!((counts.flows, counts.pending), (1, 0));
    assert!(table.expire(ms(20_000), ms(2_100)).is_empty());
}

#[test]
fn idle_flows_are_removed() {
    let mut table = open();

    table.expire(ms(20_000), ms(20_005));

    assert_eq!((table.counts("i-1").flows, table.len()), (0, 0));
}

/// A flood of SYNs from forged addresses fills the table. The balancer still works, as packets are not
/// routed by the table, and its memory must stay bounded.
#[test]
fn the_table_stays_bounded_in_a_flood_of_flows() {
    let (cookie, server) = host();
    let mut table = Table::default();
    for number in 0..100_000u32 {
        let mut packet = opening(1);
        packet.key.client = (0x0a00_0000 + number).into();
        table.record_opening(&packet, cookie, &server, ms(0));
    }

    assert_eq!(table.len(), 32_768);
    assert_eq!(table.counts("i-1").flows, 32_768);
}

#[derive(Debug, Clone)]
enum Event {
    Opened,
    Observed(Kind, u16, u32, u32),
    ServerGone,
    Expired(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let kind = prop_oneof![
        6 => Just(Kind::Middle),
        1 => Just(Kind::Closing),
        1 => Just(Kind::Reset),
    ];
    prop_oneof![
        2 => Just(Event::Opened),
        8 => (kind, 0..3u16, 0..4u32, 0..4u32)
            .prop_map(|(kind, payload, seq, ack)| Event::Observed(kind, payload * 100, seq * 100, ack)),
        1 => Just(Event::ServerGone),
        1 => (0..5_000u64).prop_map(Event::Expired),
    ]
}

proptest! {
    /// Packets are reordered, lost or duplicated, and flows are opened again on the same ports at other
    /// servers. The counts of each server must equal the sums over tables that hold one flow each.
    #[test]
    fn counts_of_many_flows_are_the_sums_over_single_flows(
        events in prop::collection::vec((0..4u16, 0..2u8, event()), 0..120),
    ) {
        let servers: [Arc<str>; 2] = ["i-1".into(), "i-2".into()];
        let mut whole = Table::default();
        let mut single: Vec<Table> = (0..4).map(|_| Table::default()).collect();
        for (at, (port, server, event)) in events.into_iter().enumerate() {
            let now = ms(at as u64 * 40);
            let server = &servers[usize::from(server)];
            let cookie = Cookie::of(server, 0);
            for table in [&mut whole, &mut single[usize::from(port)]] {
                match event.clone() {
                    Event::Opened => table.record_opening(&opening(port), cookie, server, now),
                    Event::Observed(kind, payload, seq, ack) => {
                        let packet = Packet { kind, ..middle(port, 101 + seq, payload, ack) };
                        table.observe(&packet, cookie, server, now);
                    }
                    Event::ServerGone | Event::Expired(_) => {}
                }
            }
            for table in single.iter_mut().chain([&mut whole]) {
                match event {
                    Event::ServerGone => drop(table.remove_flows_of(|gone| gone == server)),
                    Event::Expired(idle) => drop(table.expire(ms(idle), now)),
                    _ => {}
                }
            }
            for server in &servers {
                let counts = |table: &Table| table.counts(server);
                let flows: u32 = single.iter().map(|table| counts(table).flows).sum();
                let pending: u32 = single.iter().map(|table| counts(table).pending).sum();
                prop_assert_eq!(whole.counts(server), Counts { flows, pending });
            }
        }
    }
}
