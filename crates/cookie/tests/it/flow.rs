use std::sync::Arc;

use acacia_cookie::{
    cookie::Cookie,
    flow::{Sign, Table},
};
use acacia_wire::packet::{Kind, Packet};

use crate::fixture::{middle, ms, opening};

fn host() -> (Cookie, Arc<str>) {
    (Cookie::of("i-1", 0), "i-1".into())
}

/// A table with one flow that was opened and answered.
fn open() -> Table {
    let (cookie, server) = host();
    let mut table = Table::default();
    table.opened(&opening(1), cookie, &server, ms(0));
    assert_eq!(
        table.passed(&middle(1, 101, 0, 50), cookie, &server, ms(4)),
        Sign::Opened(ms(4))
    );
    table
}

#[test]
fn data_sent_again_after_a_while_shows_that_nobody_answered() {
    let ((cookie, server), mut table) = (host(), open());
    let request = middle(1, 101, 200, 50);

    assert_eq!(table.passed(&request, cookie, &server, ms(10)), Sign::Asked);
    assert_eq!(
        table.passed(&request, cookie, &server, ms(210)),
        Sign::Unanswered
    );
}

/// This balancer was frozen, or its queue was full: the packet and its copy reach it together, and
/// the server had no time to answer the first. Taken as a sign, each pause of a balancer would
/// throw suspicion on servers that live.
#[test]
fn a_copy_that_comes_with_its_original_shows_nothing() {
    let ((cookie, server), mut table) = (host(), open());
    let request = middle(1, 101, 200, 50);
    table.passed(&request, cookie, &server, ms(1_000));

    assert_eq!(
        table.passed(&request, cookie, &server, ms(1_001)),
        Sign::None
    );
}

#[test]
fn a_bare_acknowledgement_tells_the_time_of_an_answer() {
    let ((cookie, server), mut table) = (host(), open());
    table.passed(&middle(1, 101, 200, 50), cookie, &server, ms(10));

    let sign = table.passed(&middle(1, 301, 0, 1_250), cookie, &server, ms(40));

    assert_eq!(sign, Sign::Timed(ms(30)));
}

/// A caller pauses for seconds and acknowledges the last answer with its next request. Taken as the
/// server's time, the pause would make it the slowest of all.
#[test]
fn an_acknowledgement_that_comes_with_the_next_request_tells_no_time() {
    let ((cookie, server), mut table) = (host(), open());
    table.passed(&middle(1, 101, 200, 50), cookie, &server, ms(10));

    let sign = table.passed(&middle(1, 301, 200, 90), cookie, &server, ms(5_000));

    assert_eq!(sign, Sign::Answered);
}

#[test]
fn sequence_numbers_may_run_over() {
    let (cookie, server) = host();
    let mut table = Table::default();
    table.passed(
        &middle(1, u32::MAX - 10, 0, u32::MAX - 5),
        cookie,
        &server,
        ms(0),
    );

    assert_eq!(
        table.passed(
            &middle(1, u32::MAX - 10, 100, u32::MAX - 5),
            cookie,
            &server,
            ms(1)
        ),
        Sign::Asked
    );
    assert_eq!(
        table.passed(&middle(1, 90, 0, 20), cookie, &server, ms(9)),
        Sign::Timed(ms(8))
    );
}

#[test]
fn flows_are_counted_while_they_live() {
    let ((cookie, server), mut table) = (host(), open());
    assert_eq!(table.count("i-1"), 1);

    table.passed(
        &Packet {
            kind: Kind::Closing,
            ..middle(1, 101, 0, 50)
        },
        cookie,
        &server,
        ms(9),
    );

    assert_eq!((table.count("i-1"), table.len()), (0, 0));
}

#[test]
fn flows_without_a_packet_are_forgotten() {
    let mut table = open();

    table.sweep(ms(5));

    assert_eq!((table.count("i-1"), table.len()), (0, 0));
}

/// A flood of openings from forged addresses fills the table. The balancer goes on, as nothing is
/// resolved by it, and its memory stays bounded.
#[test]
fn a_flood_of_flows_stays_within_bounds() {
    let (cookie, server) = host();
    let mut table = Table::default();
    for number in 0..100_000u32 {
        let mut packet = opening(1);
        packet.key.client = (0x0a00_0000 + number).into();
        table.opened(&packet, cookie, &server, ms(0));
    }

    assert_eq!(table.len(), 32_768);
    assert_eq!(table.count("i-1"), 32_768);
}
