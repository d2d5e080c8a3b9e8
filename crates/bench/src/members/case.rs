use std::time::Duration;

use super::{Options, fleet::Fleet};
use crate::speed::cpu;

/// How long a case may take to settle.
const LIMIT: Duration = Duration::from_secs(60);
/// Time for a fleet that starts at once to find itself, before the failures of a case.
const START: Duration = Duration::from_secs(15);
/// Share of the balancers that are killed at the same moment.
const HERD: f64 = 0.55;
/// Duration of the cut of a data centre.
const CUT: Duration = Duration::from_secs(30);

/// A situation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Case {
    /// All balancers start at once.
    Start,
    /// Nothing happens.
    Quiet,
    /// One balancer in a hundred dies.
    Death,
    /// More than half of the balancers die at once, and start again after two seconds.
    Herd,
    /// A data centre is cut off from the others for half a minute.
    Cut,
    /// Balancers restart one after the other.
    Roll,
}

/// All cases.
pub const ALL: [Case; 6] = [
    Case::Start,
    Case::Quiet,
    Case::Death,
    Case::Herd,
    Case::Cut,
    Case::Roll,
];

impl Case {
    /// Runs the case and returns its line.
    #[must_use]
    pub fn run(self, options: &Options, size: usize, seed: u64) -> String {
        let mut fleet = Fleet::new(size, options.near, options.loss, seed);
        let begun = cpu::thread();
        fleet.start_all();
        let started = fleet.run_while(LIMIT, |fleet| fleet.is_settled(true));
        if self != Case::Start {
            let end = START.max(fleet.now);
            fleet.run_until(end);
            fleet.reset_counts();
        }
        let (from, spent) = (fleet.now, cpu::thread());
        let outcome = match self {
            Case::Start => format!("settled_ms={}", millis(started)),
            Case::Quiet => quiet(&mut fleet, Duration::from_secs(options.quiet_s)),
            Case::Death => death(&mut fleet, size.div_ceil(100)),
            Case::Herd => herd(&mut fleet, (size as f64 * HERD) as usize),
            Case::Cut => cut(&mut fleet),
            Case::Roll => roll(&mut fleet, size.div_ceil(20)),
        };
        let (from, spent) = match self {
            Case::Start => (Duration::ZERO, begun),
            _ => (from, spent),
        };
        let seconds = (fleet.now - from).as_secs_f64().max(0.001);
        let bytes = fleet.sent_bytes();
        let rate = |bytes: usize| bytes as f64 / seconds;
        let balancer_us = (cpu::thread() - spent).as_micros() as f64 / size as f64 / seconds;
        format!(
            "members case={self:?} balancers={size} near={} loss={} seed={seed} {outcome} \
             removals={} wrong={} middle_bytes_s={:.0} busiest_bytes_s={:.0} messages_s={:.1} cpu_us_s={balancer_us:.0}",
            options.near,
            options.loss,
            fleet.tally.lost,
            fleet.tally.wrong,
            rate(bytes[bytes.len() / 2]),
            rate(bytes[bytes.len() - 1]),
            fleet.sent_messages() as f64 / size as f64 / seconds,
        )
    }
}

/// Milliseconds, or `never` if a fleet didn't settle.
fn millis(time: Option<Duration>) -> String {
    time.map_or_else(|| "never".to_owned(), |time| time.as_millis().to_string())
}

fn quiet(fleet: &mut Fleet, length: Duration) -> String {
    fleet.run_until(fleet.now + length);
    format!("settled={}", fleet.is_settled(true))
}

fn death(fleet: &mut Fleet, count: usize) -> String {
    for number in fleet.choose(count) {
        fleet.kill(number);
    }
    let near = fleet.run_while(LIMIT, |fleet| fleet.is_settled(false));
    let wide = fleet.run_while(LIMIT, |fleet| fleet.is_settled(true));
    format!(
        "killed={count} gone_ms={} everywhere_after_ms={}",
        millis(near),
        millis(wide)
    )
}

fn herd(fleet: &mut Fleet, count: usize) -> String {
    let killed = fleet.choose(count);
    for &number in &killed {
        fleet.kill(number);
    }
    let down = Duration::from_secs(2);
    fleet.run_until(fleet.now + down);
    for number in killed {
        fleet.start(number, Duration::ZERO);
    }
    let settled = fleet.run_while(LIMIT, |fleet| fleet.is_settled(true));
    format!("killed={count} settled_ms={}", millis(settled))
}

fn cut(fleet: &mut Fleet) -> String {
    fleet.cut = Some(1);
    fleet.run_until(fleet.now + CUT);
    let inside = fleet.is_settled(false);
    fleet.cut = None;
    let healed = fleet.run_while(LIMIT, |fleet| fleet.is_settled(true));
    format!("lists_kept={inside} healed_ms={}", millis(healed))
}

fn roll(fleet: &mut Fleet, count: usize) -> String {
    for number in fleet.choose(count) {
        fleet.kill(number);
        fleet.run_until(fleet.now + Duration::from_millis(200));
        fleet.start(number, Duration::ZERO);
        fleet.run_until(fleet.now + Duration::from_millis(300));
    }
    let settled = fleet.run_while(LIMIT, |fleet| fleet.is_settled(true));
    format!("restarted={count} settled_ms={}", millis(settled))
}
