//! Examinations played over links that delay and lose packets.

use std::{collections::BTreeMap, time::Duration};

use acacia_cookie::{
    silence::Finding,
    trial::{Answer, Probe, Trial, WAIT},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

use crate::fixture::ms;

/// Plays a trial of one server; `travel` gives how long the exchange of a probe that is sent at some
/// time takes, none if the probe or its answer is lost or the server is dead. Gives what was found
/// and when.
pub fn play(mut travel: impl FnMut(Probe, Duration) -> Option<Duration>) -> (Finding, Duration) {
    let mut trial = Trial::new(1, true, Duration::ZERO);
    let mut ends: BTreeMap<(Duration, usize), (Probe, Answer)> = BTreeMap::new();
    let (mut now, mut sent) = (Duration::ZERO, 0);
    while !trial.is_over() {
        for probe in trial.due(now) {
            let answered = travel(probe, now).filter(|took| *took <= WAIT);
            let answer = answered.map_or(Answer::Missing, |_| Answer::Accepted);
            sent += 1;
            ends.insert((now + answered.unwrap_or(WAIT), sent), (probe, answer));
        }
        let end = ends.first_key_value().map(|(key, _)| key.0);
        now = [trial.next_due(), end].into_iter().flatten().min().unwrap();
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let (probe, answer) = entry.remove();
            trial.record(probe, answer);
        }
    }
    (trial.findings()[0], now)
}

/// The whole of a full link: what waits in its queue, and what feeds it.
struct Link {
    /// Bytes a millisecond.
    rate: f64,
    /// Bytes that fit its queue; more are lost.
    room: f64,
    queue: f64,
    at: f64,
    /// Connections that fill it: bytes that each may have under way, and when it sends next.
    senders: Vec<(f64, f64)>,
    random: Pcg64,
}

/// Bytes of a packet of a bulk transfer, and of a probe.
const SEGMENT: f64 = 1_500.0;
const PROBE: f64 = 60.0;

impl Link {
    fn new(mbits: f64, room: f64, senders: usize, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let windows = (0..senders).map(|_| (random.random_range(2.0..20.0) * SEGMENT, 0.0));
        Link {
            rate: mbits * 125.0,
            room,
            queue: 0.0,
            at: 0.0,
            senders: windows.collect(),
            random,
        }
    }

    /// Lets the senders fill the queue until `now`, in milliseconds. Each sends a window every round
    /// trip, halves it at a loss and widens it otherwise, as TCP does.
    fn advance(&mut self, now: f64) {
        while let Some((at, index)) = self.next_sender().filter(|(at, _)| *at <= now) {
            self.drain(at);
            let window = self.senders[index].0;
            let fits = (self.room - self.queue).max(0.0).min(window);
            self.queue += fits;
            let wider = match fits < window {
                true => (window / 2.0).max(SEGMENT),
                false => window + SEGMENT,
            };
            let jitter = self.random.random_range(0.0..4.0);
            self.senders[index] = (wider, at + self.queue / self.rate + 2.0 + jitter);
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
        self.queue = (self.queue - (now - self.at) * self.rate).max(0.0);
        self.at = now;
    }

    /// How long an exchange that begins `now` takes; none if the queue has no room.
    fn travel(&mut self, now: f64, far: bool) -> Option<Duration> {
        self.advance(now);
        if self.queue + PROBE > self.room {
            return None;
        }
        self.queue += PROBE;
        let trip = if far { 5.0 } else { 2.0 };
        Some(Duration::from_secs_f64(
            (self.queue / self.rate + trip) / 1_000.0,
        ))
    }
}

/// Parts in 10,000 of the examinations of a living server over a link that find it silent.
fn condemned(mbits: f64, room: f64, senders: usize) -> u32 {
    let found = |seed: u64| {
        let mut link = Link::new(mbits, room, senders, seed);
        let begun = f64::from(link.random.random_range(0..2_000u32));
        let travel = |probe: Probe, at: Duration| {
            link.travel(begun + at.as_secs_f64() * 1_000.0, probe != Probe::Control)
        };
        play(travel).0
    };
    let silent = (0..10_000).filter(|seed| found(*seed) == Finding::Silent);
    silent.count() as u32
}

/// A balancer passes a configuration of thousands of routes on to three others, and its link of 2, 5 or
/// 10 Mbit/s is full for a second or more. Callers' packets wait, are sent again, and bring living
/// servers under suspicion, dozens in that second; one wrong verdict ends all flows of a server.
/// Queues of 16 kB lose most of what comes, those of 256 kB delay it by up to a second.
#[rstest]
fn a_full_link_condemns_no_living_server(
    #[values(2.0, 5.0, 10.0)] mbits: f64,
    #[values(16_000.0, 64_000.0, 256_000.0)] room: f64,
    #[values(1, 3)] senders: usize,
) {
    let condemned = condemned(mbits, room, senders);

    assert!(condemned <= 1, "{condemned} of 10,000");
}

/// What filled the link has ended, and its queue drains. The first probes wait in it for too long; a
/// control that is sent after the last of them waits a little less and is answered in time. Callers'
/// flows were ended by that: `server-suspected` of a dozen living servers, and of one of them
/// `server-silent` 91 ms later.
#[test]
fn a_queue_that_drains_condemns_no_living_server() {
    for tenths in 0..4_000u32 {
        let queue = f64::from(tenths) / 10.0;
        let travel = |probe: Probe, at: Duration| {
            let trip = if probe == Probe::Control { 2.0 } else { 5.0 };
            let waits = (queue - at.as_secs_f64() * 1_000.0).max(0.0);
            Some(Duration::from_secs_f64((waits + trip) / 1_000.0))
        };

        assert_ne!(play(travel).0, Finding::Silent, "{queue} ms");
    }
}

/// Links lose a part of all packets for seconds. Callers' packets that are lost bring living servers
/// under suspicion; each verdict would end the flows of one.
#[rstest]
fn lost_packets_condemn_next_to_no_living_server(#[values(0.05, 0.1, 0.2, 0.4, 0.6)] loss: f64) {
    let mut random = Pcg64::seed_from_u64(7);
    let trials = 20_000;
    let mut silent = 0;
    for _ in 0..trials {
        let (found, _) = play(|_, _| (!random.random_bool(loss)).then_some(ms(5)));
        silent += u32::from(found == Finding::Silent);
    }

    // The worst case of ten independent exchanges, of which just the six probes are lost.
    assert!(f64::from(silent) / f64::from(trials) < 0.0015, "{silent}");
}

/// A server's machine is gone, and callers wait for answers that don't come. The verdict must come
/// within the time that they can wait: well below the 200 ms after which they send again.
#[test]
fn a_server_that_is_gone_is_found_silent_in_time() {
    let (found, took) = play(|probe, _| (probe == Probe::Control).then_some(ms(5)));

    assert_eq!(found, Finding::Silent);
    assert!(took <= ms(150), "{took:?}");
}

/// The same while one packet of ten is lost each way. Not every examination ends with a verdict, and
/// each packet that a caller sends again starts another.
#[test]
fn a_server_that_is_gone_is_found_silent_over_a_lossy_link() {
    let mut random = Pcg64::seed_from_u64(8);
    let mut silent = 0;
    for _ in 0..1_000 {
        let answers = |random: &mut Pcg64| !random.random_bool(0.19);
        let (found, _) =
            play(|probe, _| (probe == Probe::Control && answers(&mut random)).then_some(ms(5)));
        silent += u32::from(found == Finding::Silent);
    }

    assert!(silent > 350, "{silent} of 1,000 in one examination");
}

/// The process of a server has died, and its machine refuses connections at once. That no loss
/// explains: callers are told without waiting for more probes.
#[test]
fn a_server_that_refuses_is_found_silent_at_once() {
    let mut trial = Trial::new(1, true, ms(0));

    for (at, answer) in [
        (0, Answer::Refused),
        (25, Answer::Refused),
        (30, Answer::Accepted),
    ] {
        for probe in trial.due(ms(at)) {
            trial.record(probe, answer);
        }
    }

    assert!(trial.is_over());
    assert_eq!(trial.findings(), [Finding::Silent]);
}

/// This process gets no processor for a tenth of a second in the middle of a trial. All that was due
/// meanwhile must not go out in one moment: a short loss would then take all probes and spare the
/// control.
#[test]
fn steps_that_are_late_are_not_made_together() {
    let mut trial = Trial::new(1, true, ms(0));

    assert_eq!(trial.due(ms(0)).len(), 1);
    assert_eq!(trial.due(ms(100)), [Probe::Server(0)]);
    assert_eq!(trial.due(ms(100)), []);
    assert_eq!(trial.next_due(), Some(ms(105)));
}

/// No other server is above suspicion. Nothing can be concluded, and the trial must end all the same.
#[test]
fn without_a_control_nothing_is_concluded() {
    let mut trial = Trial::new(1, false, ms(0));
    for at in [0, 25, 30] {
        trial.due(ms(at));
    }

    trial.record(Probe::Server(0), Answer::Missing);
    assert!(!trial.is_over(), "the second probe may be answered yet");
    trial.record(Probe::Server(0), Answer::Missing);

    assert!(trial.is_over());
    assert_eq!(trial.findings(), [Finding::Unknown]);
}
