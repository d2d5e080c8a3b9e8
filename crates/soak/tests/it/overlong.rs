//! Answers of the store that are longer than balancers read.

use std::time::{Duration, Instant};

use acacia_adapter_stand::caller::End;
use acacia_soak::fleet::{FRONTS, Fleet, SERVICES};
use rstest::rstest;

const BALANCERS: u8 = 5;
/// The bound on configurations in the balancers' settings.
const BOUND: Duration = Duration::from_secs(3);
/// The pause between two configurations, and how many come before the balancer that reads them is lost.
const GAP: Duration = Duration::from_millis(60);
const BEFORE_LOSS: u64 = 3;
/// Memory that a balancer may use at most.
const MAX_MEMORY: u64 = 128 << 20;

/// Writes a configuration of `size` bytes with a route to the service with this index.
fn configure(fleet: &Fleet, version: u64, service: usize, size: usize) {
    let route = ("r-used", FRONTS[service], SERVICES[service], None);
    fleet.store.configure_with_size(version, &[route], size);
}

/// How an opening through one balancer ends, towards the service with this index.
async fn open(fleet: &Fleet, number: u8, service: usize) -> Option<End> {
    let caller = fleet.caller(number + 20 * service as u8, service).await;
    let mut caller = caller.expect("a free address");
    caller.set_balancers(vec![fleet.traffic(number)]);
    caller.open().await.err()
}

/// Whether a balancer refuses the route of the first configurations, and serves that of the last one.
async fn is_in_force(fleet: &Fleet, number: u8) -> bool {
    let old = open(fleet, number, 0).await;
    old == Some(End::Refused) && open(fleet, number, 1).await.is_none()
}

/// Guards against balancers that act on an old configuration, until the store has dropped its history, after
/// the one that reads the store was lost during configurations that make the next answer too long.
#[rstest]
#[case::many(167_000, 25)]
#[case::largest(1 << 20, 12)]
#[tokio::test(flavor = "multi_thread")]
async fn configurations_whose_changes_cannot_be_read_are_in_force_in_time(
    #[case] size: usize,
    #[case] count: u64,
) {
    let mut fleet = Fleet::start(BALANCERS, 2, Duration::from_millis(1))
        .await
        .expect("a deployment that starts");
    configure(&fleet, 100, 0, size);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let reads = |number: &u8| {
        let log = fleet.log(*number);
        let mut turns = log.lines().filter(|line| line.contains("event=reader"));
        turns
            .next_back()
            .is_some_and(|line| line.contains("reads=true"))
    };
    let reader = fleet.balancers().into_iter().find(reads).expect("a reader");

    for number in 1..=count {
        configure(&fleet, 100 + number, usize::from(number == count), size);
        if number == BEFORE_LOSS {
            fleet.kill(reader);
        }
        tokio::time::sleep(GAP).await;
    }
    let acknowledged = Instant::now() - GAP;
    let others = || (0..BALANCERS).filter(|number| *number != reader);
    for number in others() {
        while !is_in_force(&fleet, number).await {
            assert!(acknowledged.elapsed() < BOUND * 8, "{}", fleet.log(number));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let took = acknowledged.elapsed();

    let memory = others().map(|number| fleet.peak_memory(number).expect("a process"));
    let memory = memory.max().unwrap_or_default();
    println!("in force after {took:?}, peak memory {memory} bytes");
    let is_overlong = |number| fleet.log(number).contains("event=store-answer-too-long");
    assert!(others().any(is_overlong), "the case has to occur");
    assert!(took < BOUND, "{took:?}");
    assert!(memory < MAX_MEMORY, "{memory}");
}
