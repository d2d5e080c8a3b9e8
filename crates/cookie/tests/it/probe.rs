//! Simulates examinations over links that delay and lose packets.

use std::{collections::BTreeMap, time::Duration};

use acacia_cookie::{
    probe::{Answer, Probe, Sequence, WAIT},
    silence::Finding,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

use crate::fixture::ms;

/// Simulates the examination of one server and returns the finding and when it was reached.
///
/// `travel` returns the round-trip time of a probe that is sent at the given time, or `None` if the
/// probe or its answer is lost or the server is down.
pub fn simulate(
    mut travel: impl FnMut(Probe, Duration) -> Option<Duration>,
) -> (Finding, Duration) {
    let mut sequence = Sequence::new(1, true, Duration::ZERO);
    let mut ends: BTreeMap<(Duration, usize), (Probe, Answer)> = BTreeMap::new();
    let (mut now, mut sent) = (Duration::ZERO, 0);
    while !sequence.is_over() {
        for probe in sequence.due(now) {
            let answered = travel(probe, now).filter(|took| *took <= WAIT);
            let answer = answered.map_or(Answer::Missing, |_| Answer::Accepted);
            sent += 1;
            ends.insert((now + answered.unwrap_or(WAIT), sent), (probe, answer));
        }
        let end = ends.first_key_value().map(|(key, _)| key.0);
        now = [sequence.next_due(), end]
            .into_iter()
            .flatten()
            .min()
            .unwrap();
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let (probe, answer) = entry.remove();
            sequence.record(probe, answer);
        }
    }
    (sequence.findings()[0], now)
}

/// A saturated link with its queue and the connections that send over it.
struct Link {
    /// Capacity, in bytes per millisecond.
    rate: f64,
    /// Capacity of the queue, in bytes. Packets beyond it are dropped.
    queue_limit: f64,
    /// Bytes in the queue.
    queue: f64,
    /// When the queue was last drained, in milliseconds.
    drained: f64,
    /// Connections that saturate the link: the congestion window in bytes, and when it sends next.
    senders: Vec<(f64, f64)>,
    random: Pcg64,
}

/// Size of a packet of a bulk transfer, in bytes.
const SEGMENT: f64 = 1_500.0;
/// Size of a probe, in bytes.
const PROBE: f64 = 60.0;

impl Link {
    fn new(mbits: f64, queue_limit: f64, senders: usize, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let windows = (0..senders).map(|_| (random.random_range(2.0..20.0) * SEGMENT, 0.0));
        Link {
            rate: mbits * 125.0,
            queue_limit,
            queue: 0.0,
            drained: 0.0,
            senders: windows.collect(),
            random,
        }
    }

    /// Simulates the senders until `now`, in milliseconds. Like TCP, each sends one window per
    /// round trip, halves it after a loss and increases it otherwise.
    fn advance(&mut self, now: f64) {
        while let Some((at, index)) = self.next_sender().filter(|(at, _)| *at <= now) {
            self.drain(at);
            let window = self.senders[index].0;
            let accepted = (self.queue_limit - self.queue).max(0.0).min(window);
            self.queue += accepted;
            let next_window = match accepted < window {
                true => (window / 2.0).max(SEGMENT),
                false => window + SEGMENT,
            };
            let jitter = self.random.random_range(0.0..4.0);
            self.senders[index] = (next_window, at + self.queue / self.rate + 2.0 + jitter);
        }
        self.drain(now);
    }

    fn next_sender(&self) -> Option<(f64, usize)> {
        let times = self.senders.iter().enumerate();
        times
            .map(|(index, (_, at))| (*at, index))
            .min_by(|one, other| one.0.total_cmp(&other.0))
    }

    fn drain(&mut self, now: f64) {
        self.queue = (self.queue - (now - self.drained) * self.rate).max(0.0);
        self.drained = now;
    }

    /// Round-trip time of a probe that is sent at `now`; `None` if the queue is full.
    fn travel(&mut self, now: f64, far: bool) -> Option<Duration> {
        self.advance(now);
        if self.queue + PROBE > self.queue_limit {
            return None;
        }
        self.queue += PROBE;
        let round_trip = if far { 5.0 } else { 2.0 };
        Some(Duration::from_secs_f64(
            (self.queue / self.rate + round_trip) / 1_000.0,
        ))
    }
}

/// Number of 10,000 examinations of a live server over a saturated link that find it silent.
fn found_silent(mbits: f64, queue_limit: f64, senders: usize) -> u32 {
    let found = |seed: u64| {
        let mut link = Link::new(mbits, queue_limit, senders, seed);
        let start = f64::from(link.random.random_range(0..2_000u32));
        let travel = |probe: Probe, at: Duration| {
            link.travel(start + at.as_secs_f64() * 1_000.0, probe != Probe::Control)
        };
        simulate(travel).0
    };
    let silent = (0..10_000).filter(|seed| found(*seed) == Finding::Silent);
    silent.count() as u32
}

/// A balancer forwards a configuration of thousands of routes to three others, which saturates its
/// link of 2, 5 or 10 Mbit/s for a second or more. Callers' packets are delayed and retransmitted,
/// so that dozens of live servers are suspected in that second. One wrong verdict ends all flows of
/// a server. Queues of 16 kB drop most packets, those of 256 kB delay them by up to a second.
#[rstest]
fn a_saturated_link_does_not_make_live_servers_silent(
    #[values(2.0, 5.0, 10.0)] mbits: f64,
    #[values(16_000.0, 64_000.0, 256_000.0)] queue_limit: f64,
    #[values(1, 3)] senders: usize,
) {
    let silent = found_silent(mbits, queue_limit, senders);

    assert!(silent <= 1, "{silent} of 10,000");
}

/// The transfer that saturated the link has ended, and its queue drains. The first probes are
/// queued for too long, but a control that is sent after the last of them waits a little less and
/// is answered in time. Callers' flows were ended by that: a dozen live servers were logged as
/// `server-suspected`, and one of them as `server-silent` 91 ms later.
#[test]
fn a_draining_queue_does_not_make_a_live_server_silent() {
    for tenths in 0..4_000u32 {
        let queue = f64::from(tenths) / 10.0;
        let travel = |probe: Probe, at: Duration| {
            let round_trip = if probe == Probe::Control { 2.0 } else { 5.0 };
            let delay = (queue - at.as_secs_f64() * 1_000.0).max(0.0);
            Some(Duration::from_secs_f64((delay + round_trip) / 1_000.0))
        };

        assert_ne!(simulate(travel).0, Finding::Silent, "{queue} ms");
    }
}

/// Links lose a fraction of all packets for seconds. Live servers are suspected because callers'
/// packets are lost, and each wrong verdict would end all flows of one.
#[rstest]
fn packet_loss_rarely_makes_a_live_server_silent(#[values(0.05, 0.1, 0.2, 0.4, 0.6)] loss: f64) {
    let mut random = Pcg64::seed_from_u64(7);
    let runs = 20_000;
    let mut silent = 0;
    for _ in 0..runs {
        let (found, _) = simulate(|_, _| (!random.random_bool(loss)).then_some(ms(5)));
        silent += u32::from(found == Finding::Silent);
    }

    // Upper bound for ten independent probes, of which exactly the six of the server are lost.
    assert!(f64::from(silent) / f64::from(runs) < 0.0015, "{silent}");
}

/// The host of a server is down, and its callers wait for answers that never arrive. The verdict
/// must be reached while they can still wait: well below the 200 ms after which they retransmit.
#[test]
fn a_server_whose_host_is_down_is_found_silent_in_time() {
    let (found, took) = simulate(|probe, _| (probe == Probe::Control).then_some(ms(5)));

    assert_eq!(found, Finding::Silent);
    assert!(took <= ms(150), "{took:?}");
}

/// The host of a server is down while one packet of ten is lost in each direction. Not every
/// examination reaches a verdict, but each retransmission of a caller starts another one.
#[test]
fn a_server_whose_host_is_down_is_found_silent_over_a_lossy_link() {
    let mut random = Pcg64::seed_from_u64(8);
    let mut silent = 0;
    for _ in 0..1_000 {
        let answers = |random: &mut Pcg64| !random.random_bool(0.19);
        let (found, _) =
            simulate(|probe, _| (probe == Probe::Control && answers(&mut random)).then_some(ms(5)));
        silent += u32::from(found == Finding::Silent);
    }

    assert!(silent > 350, "{silent} of 1,000 in one examination");
}

/// The process of a server has crashed, and its host refuses connections at once. Packet loss
/// cannot explain that, so the verdict does not wait for more probes.
#[test]
fn a_server_that_refuses_connections_is_found_silent_at_once() {
    let mut sequence = Sequence::new(1, true, ms(0));

    for (at, answer) in [
        (0, Answer::Refused),
        (25, Answer::Refused),
        (30, Answer::Accepted),
    ] {
        for probe in sequence.due(ms(at)) {
            sequence.record(probe, answer);
        }
    }

    assert!(sequence.is_over());
    assert_eq!(sequence.findings(), [Finding::Silent]);
}

/// The balancer's process is not scheduled for 100 ms during an examination. The probes that
/// became due meanwhile must not be sent all at once: a short loss could then affect all of them
/// but not the control.
#[test]
fn late_steps_are_not_run_at_once() {
    let mut sequence = Sequence::new(1, true, ms(0));

    assert_eq!(sequence.due(ms(0)).len(), 1);
    assert_eq!(sequence.due(ms(100)), [Probe::Server(0)]);
    assert_eq!(sequence.due(ms(100)), []);
    assert_eq!(sequence.next_due(), Some(ms(105)));
}

/// All other servers are suspected or silent, so there is no control and nothing can be concluded.
/// The sequence must end nevertheless.
#[test]
fn without_a_control_nothing_is_concluded() {
    let mut sequence = Sequence::new(1, false, ms(0));
    for at in [0, 25, 30] {
        sequence.due(ms(at));
    }

    sequence.record(Probe::Server(0), Answer::Missing);
    assert!(
        !sequence.is_over(),
        "the second probe may still be answered"
    );
    sequence.record(Probe::Server(0), Answer::Missing);

    assert!(sequence.is_over());
    assert_eq!(sequence.findings(), [Finding::Unknown]);
}
