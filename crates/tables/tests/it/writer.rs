use std::sync::Arc;

use acacia_tables::{
    Document, Error, MAX_SIZE, UNIT,
    writer::{Action, Answer, LONGEST_PAUSE, LOOK, Moment, RANK_DELAY, WEIGHT_PERIOD, Writer},
};
use rstest::rstest;

use crate::fixture::{Chain, Operator, draining, host, live};

fn at(monotonic: u64) -> Moment {
    let unix = 1_000 + monotonic / 1_000;
    Moment { monotonic, unix }
}

fn step(writer: &mut Writer, now: u64) -> Action {
    writer.step(at(now), &|_| false).expect("an action")
}

/// A ready balancer that has read the store and has tables of `servers` servers in force.
fn writer(rank: u16, servers: u8) -> Writer {
    let mut writer = Writer::new(0);
    writer.set_rank(Some(rank));
    let chain = Chain::new(&live(servers));
    writer.saw_config(Arc::new(chain.operator.accepted.clone().expect("accepted")));
    let text = chain.tables().encode().expect("text");
    assert_eq!(writer.saw_store(1, Some(&text), 0), Ok(true));
    writer
}

/// An operator changes the configuration that `writer` knows.
fn reconfigure(writer: &mut Writer, servers: u8) {
    let mut operator = Operator::default();
    operator.apply(&live(1));
    writer.saw_config(Arc::new(operator.apply(&live(servers))));
}

fn weigh(writer: &mut Writer, weight: u32) {
    writer.set_weights([("server-1".into(), weight)].into_iter().collect());
}

fn written(action: Action) -> (u64, Arc<Document>) {
    match action {
        Action::Write { expected, document } => (expected, document),
        other => panic!("{other:?}"),
    }
}

/// A change reaches all balancers at once. If each of them wrote, the store would get nine writes
/// for one; if only the first might, its death would keep the change from coming into force.
#[rstest]
#[case(0)]
#[case(1)]
#[case(8)]
fn a_balancer_writes_when_those_before_it_had_time_to(#[case] rank: u16) {
    let mut writer = writer(rank, 2);
    reconfigure(&mut writer, 3);
    let turn = 10 + u64::from(rank) * RANK_DELAY;
    for now in (10..turn).step_by(100) {
        assert_eq!(step(&mut writer, now), Action::Idle);
    }
    let (expected, document) = written(step(&mut writer, turn));
    assert_eq!((expected, document.version), (1, 2));
    assert_eq!(
        step(&mut writer, turn + 1),
        Action::Idle,
        "one call at a time"
    );
}

/// A balancer that joins may not have heard of the tables in force. Were it to write, it would
/// make tables of version 1 beside those that all others have.
#[test]
fn a_balancer_that_is_not_ready_writes_nothing() {
    let mut writer = Writer::new(0);
    reconfigure(&mut writer, 3);
    assert_eq!(writer.saw_store(0, None, 0), Ok(false));
    assert_eq!(step(&mut writer, 60_000), Action::Idle);
}

/// The store writes, and its answer is lost. A writer that took this for a failure and wrote
/// other tables of the same version would split the balancers.
#[test]
fn a_lost_answer_is_settled_by_the_next_read() {
    let mut writer = writer(0, 2);
    reconfigure(&mut writer, 3);
    let (_, document) = written(step(&mut writer, 0));
    assert!(!writer.answered(Answer::Lost, 100));
    assert_eq!(step(&mut writer, 101), Action::Idle, "a pause");
    assert_eq!(step(&mut writer, 2_000), Action::Read);

    let text = document.encode().expect("text");
    assert_eq!(writer.saw_store(2, Some(&text), 2_001), Ok(true));
    writer.answered(Answer::Read, 2_001);
    assert_eq!(writer.current(), Some(&document));
    assert_eq!(step(&mut writer, 2_002), Action::Idle);
}

/// The store is down for an hour. Calls that follow each other without a pause would take up the
/// platform's rate for everybody when it comes back.
#[test]
fn calls_to_a_store_that_is_down_are_few() {
    let mut writer = writer(0, 2);
    reconfigure(&mut writer, 3);
    let mut calls = 0;
    for now in (0..3_600_000).step_by(100) {
        if step(&mut writer, now) != Action::Idle {
            calls += 1;
            writer.answered(Answer::Unreached, now);
        }
    }
    assert!(
        calls > 10 && calls <= 3_600_000 / LONGEST_PAUSE + 8,
        "{calls}"
    );
}

/// Measured weights change all the time. A version for each would cost pins for the flows that it
/// moves and a document for every balancer.
#[test]
fn weights_alone_make_few_versions_and_none_for_noise() {
    let mut first = writer(0, 2);
    let mut versions = Vec::new();
    for now in (0..=3 * WEIGHT_PERIOD).step_by(100) {
        weigh(&mut first, UNIT / 2 + (now % 7_000) as u32);
        if let Action::Write { document, .. } = step(&mut first, now) {
            versions.push(document.version);
            let revision = document.version;
            first.answered(Answer::Written { revision }, now);
        }
    }
    assert_eq!(versions, [2, 3, 4]);

    let (mut noise, mut second) = (writer(0, 2), writer(1, 2));
    weigh(&mut noise, UNIT + UNIT / 20);
    weigh(&mut second, UNIT * 2);
    assert_eq!(step(&mut noise, 60_000), Action::Idle);
    assert_eq!(
        step(&mut second, 60_000),
        Action::Idle,
        "another's measurements"
    );
}

/// A change of the configuration must not wait for the weights' turn, and must not carry weights
/// along before it either.
#[test]
fn a_change_of_configuration_does_not_wait_for_weights() {
    let mut writer = writer(0, 2);
    weigh(&mut writer, UNIT * 2);
    reconfigure(&mut writer, 3);
    let (_, document) = written(step(&mut writer, 1));
    let weights = document.services[0]
        .servers
        .iter()
        .map(|server| server.weight);
    assert_eq!(weights.collect::<Vec<_>>(), [UNIT; 3]);
}

/// The deadline of a drain passes and nobody touches the configuration. The server's buckets must
/// still find another base, or its callers are sent to nobody for good.
#[test]
fn a_deadline_is_reason_enough() {
    let mut chain = Chain::new(&live(2));
    chain.apply(&draining(&live(2), 2, Some(1_060)));
    let mut writer = Writer::new(0);
    writer.set_rank(Some(0));
    writer.saw_config(Arc::new(chain.operator.accepted.clone().expect("accepted")));
    let text = chain.tables().encode().expect("text");
    assert_eq!(writer.saw_store(2, Some(&text), 0), Ok(true));

    assert_eq!(step(&mut writer, 59_999), Action::Idle);
    let action = writer.step(at(60_000), &|version| version <= 2);
    let (_, document) = written(action.expect("an action"));
    assert!(
        document.services[0]
            .servers
            .iter()
            .all(|server| server.address != host(2))
    );
}

/// The store comes back from a backup, or an operator removed its key. A balancer that starts
/// then would take up old tables, or none, beside those in force.
#[rstest]
#[case::older(Some(1))]
#[case::absent(None)]
fn a_store_that_lost_the_tables_gets_them_again(#[case] servers: Option<u8>) {
    let mut chain = Chain::new(&live(1));
    let backup = servers.map(|_| chain.tables().encode().expect("text"));
    chain.apply(&live(2));
    let current = Arc::new(chain.tables().clone());
    let mut writer = Writer::new(0);
    writer.set_rank(Some(0));
    assert!(writer.saw_tables(Arc::clone(&current), 0));
    assert_eq!(writer.saw_store(9, backup.as_deref(), 0), Ok(false));
    assert_eq!(written(step(&mut writer, 0)), (9, current));
}

/// A later version of the program, or a hand, has written what this one can't read. It must not
/// be written over: what it holds may be in force at others.
#[test]
fn tables_that_cannot_be_read_are_left_alone() {
    let mut writer = writer(0, 2);
    let later = Error::Later { format: 2 };
    assert_eq!(writer.saw_store(7, Some("{\"format\":2}"), 0), Err(later));
    reconfigure(&mut writer, 3);
    weigh(&mut writer, UNIT * 2);
    assert_eq!(step(&mut writer, 100_000), Action::Idle);
}

/// A configuration is accepted whose tables don't fit into the store. The writer must say so, not
/// cut them, and not work at it all the time.
#[test]
fn tables_too_large_for_the_store_are_an_error_now_and_then() {
    let mut config = acacia_config::Config::default();
    for place in 1..=100 {
        crate::fixture::add_service(&mut config, &format!("service-{place}"), place);
    }
    config = shares_of_one(&config);
    for at in 0..9_000_u32 {
        let ip = std::net::Ipv4Addr::from(0x0a10_0000 + at);
        let service = format!("service-{}", at % 100 + 1);
        let server = acacia_config::Server::new(&format!("s{at}"), &service, (ip, 1).into(), "dc");
        config.add_server(server);
    }
    let mut writer = Writer::new(0);
    writer.set_rank(Some(0));
    writer.saw_config(Arc::new(Operator::default().apply(&config)));
    writer.saw_store(0, None, 0).expect("an absent key");
    let failed = writer.step(at(0), &|_| false);
    assert!(matches!(failed, Err(Error::TooLarge { size }) if size > MAX_SIZE));
    assert_eq!(step(&mut writer, LOOK / 10), Action::Idle);
}

fn shares_of_one(config: &acacia_config::Config) -> acacia_config::Config {
    let mut small = acacia_config::Config::default();
    for service in config.services() {
        let mut service = service.clone();
        service.share = 1;
        small.add_service(service);
    }
    small
}
