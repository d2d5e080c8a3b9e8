//! Runs one seed with the cookie transport: callers send requests while faults are injected and
//! reverted.

use std::{
    net::SocketAddrV4,
    ops::Range,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_adapter_stand::caller::{Caller, End};
use rand::SeedableRng as _;
use rand_pcg::Pcg64;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    fault::{self, Entry, Fault},
    fleet::{Fleet, OBJECTIVE_MS, Rotation},
    watch::{Breach, Opening, SETTLE, ServerRecord, Tally, judge, judge_lapses},
};

/// Size of the deployment and number of faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// Seed of the faults.
    pub seed: u64,
    /// Number of balancers.
    pub balancers: u8,
    /// Number of backend servers of each of the two services.
    pub servers: u8,
    /// Number of callers of each service.
    pub callers: u8,
    /// Number of faults of balancers, the store, the connections to it, and backend servers.
    pub faults: usize,
    /// Number of faults of the traffic between balancers. They use a random generator of their own,
    /// so the other faults of a seed do not depend on this number.
    pub mesh: usize,
    /// Number of floods and lapses, with a random generator of their own as well. If there are any,
    /// servers have a limited number of slots and routes a latency objective.
    pub load: usize,
    /// Period in which faults begin.
    pub span: Duration,
}

impl Plan {
    /// The default size: a few dozen processes and tasks, and ten faults within six seconds.
    #[must_use]
    pub const fn usual(seed: u64) -> Self {
        Plan {
            seed,
            balancers: 6,
            servers: 4,
            callers: 4,
            faults: 10,
            mesh: 0,
            load: 0,
            span: Duration::from_secs(6),
        }
    }

    /// The faults of the plan, sorted by start time.
    #[must_use]
    pub fn draw(&self) -> Vec<Entry> {
        let (span, balancers, servers) = (self.span, self.balancers, 2 * self.servers);
        let mut random = Pcg64::seed_from_u64(self.seed);
        let mut faults = fault::draw(&mut random, self.faults, span, balancers, servers);
        let mut random = Pcg64::seed_from_u64(self.seed ^ MESH_SEED);
        faults.extend(fault::draw_mesh(&mut random, self.mesh, span, balancers));
        let mut random = Pcg64::seed_from_u64(self.seed ^ LOAD_SEED);
        faults.extend(fault::draw_load(&mut random, self.load, span, servers));
        faults.sort_by_key(|entry| entry.at);
        faults
    }
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The faults in order of their start.
    pub faults: Vec<Entry>,
    /// What callers observed during the faults and until [`SETTLE`] after them.
    pub tally: Tally,
    /// What the callers of floods observed.
    pub flood: Tally,
    /// What callers observed after the recovery.
    pub recovered: Tally,
    /// Violated guarantees.
    pub breaches: Vec<Breach>,
    /// Logs of the balancers' current processes, if a guarantee was violated.
    pub logs: Vec<String>,
}

/// XORed into the seed of the generator of faults between balancers.
const MESH_SEED: u64 = 0x6d65_7368;
/// XORed into the seed of the generator of floods and lapses.
const LOAD_SEED: u64 = 0x6c6f_6164;
/// Processing time of a request at a backend server.
const WORK: Duration = Duration::from_millis(5);
/// Time limit for an answer.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Number of requests of a flow.
const REQUESTS: u32 = 8;
/// Delay between two requests of a flow, and after a failed attempt to open one.
const PAUSE: Duration = Duration::from_millis(40);
/// Numbers of the callers of floods. The fleet's network has addresses for 56 callers in all.
const FLOOD_CALLERS: Range<u8> = 16..52;
/// Delay between two requests of a flow in a flood. With it, 36 callers send more than the slots of one
/// data centre's servers can serve and less than those of all.
const FLOOD_PAUSE: Duration = Duration::from_millis(20);
/// Duration of the phase after the recovery.
const RECOVERY_PHASE: Duration = Duration::from_secs(2);

/// State shared by all callers of a phase.
#[derive(Debug)]
struct Shared {
    rotation: Rotation,
    /// Balancers that the callers' packets reach. While there are none, callers open no flows.
    reached: Rotation,
    /// Delay between two requests of a flow.
    pause: Duration,
    start: Instant,
    stop: AtomicBool,
    /// Set from the first fault that may end flows; resets do not count as violations then.
    excused: Arc<AtomicBool>,
}

/// Runs a plan.
///
/// # Errors
/// When the deployment cannot be started or a fault cannot be injected.
pub async fn play(plan: Plan) -> anyhow::Result<Report> {
    let mut fleet = Fleet::start(plan.balancers, plan.servers, WORK).await?;
    let faults = plan.draw();
    if plan.load > 0 {
        fleet.limit_load(OBJECTIVE_MS);
    }
    let usual = 0..2 * plan.callers;
    let everywhere = fleet.balancers().into_iter();
    let everywhere: Vec<_> = everywhere.map(|number| fleet.traffic(number)).collect();
    let everywhere = Arc::new(Mutex::new(everywhere));
    let shared = Shared::new(&fleet, Arc::clone(&everywhere), PAUSE);
    let flood_shared = Shared {
        start: shared.start,
        excused: Arc::clone(&shared.excused),
        ..Shared::new(&fleet, fleet.flooded(), FLOOD_PAUSE)
    };
    let fault_phase = start_callers(&fleet, usual.clone(), "d", shared).await?;
    let flooding = match plan.load {
        0 => 0..0,
        _ => FLOOD_CALLERS,
    };
    let flood = start_callers(&fleet, flooding, "f", flood_shared).await?;
    run_faults(&mut fleet, &faults, &fault_phase.shared).await?;
    time::sleep(SETTLE).await;
    let tally = fault_phase.end().await;
    let flood = flood.end().await;
    let shared = Shared::new(&fleet, everywhere, PAUSE);
    let recovery_phase = start_callers(&fleet, usual, "c", shared).await?;
    time::sleep(RECOVERY_PHASE).await;
    let recovered = recovery_phase.end().await;
    let ran: Vec<ServerRecord> = fleet
        .servers
        .values()
        .map(|server| ServerRecord {
            service: server.service,
            server: server.id.clone(),
            requests: server.host.take_seen().ran,
        })
        .collect();
    let mut all = tally.clone();
    all.add(flood.clone());
    let mut breaches = judge(&all, &recovered, &ran);
    breaches.extend(judge_lapses(&faults, &tally.openings));
    let logs = match breaches.is_empty() {
        true => Vec::new(),
        false => fleet
            .balancers()
            .into_iter()
            .map(|number| fleet.log(number))
            .collect(),
    };
    Ok(Report {
        faults,
        tally,
        flood,
        recovered,
        breaches,
        logs,
    })
}

/// The running callers of a phase.
struct Callers {
    shared: Arc<Shared>,
    tasks: JoinSet<Tally>,
}

impl Callers {
    async fn end(mut self) -> Tally {
        self.shared.stop.store(true, Ordering::Relaxed);
        let mut tally = Tally::default();
        while let Some(joined) = self.tasks.join_next().await {
            // A panic of a caller is a bug in this crate.
            tally.add(joined.expect("callers do not panic"));
        }
        tally
    }
}

impl Shared {
    fn new(fleet: &Fleet, reached: Rotation, pause: Duration) -> Self {
        Shared {
            rotation: fleet.rotation(),
            reached,
            pause,
            start: Instant::now(),
            stop: AtomicBool::new(false),
            excused: Arc::default(),
        }
    }
}

async fn start_callers(
    fleet: &Fleet,
    numbers: Range<u8>,
    phase: &'static str,
    shared: Shared,
) -> anyhow::Result<Callers> {
    let shared = Arc::new(shared);
    let mut tasks = JoinSet::new();
    for number in numbers {
        let service = usize::from(number % 2);
        let mut caller = fleet.caller(number, service).await?;
        caller.set_balancers(Vec::new());
        let name = format!("{service}-{phase}-{number}");
        tasks.spawn(run_caller(caller, service, name, Arc::clone(&shared)));
    }
    Ok(Callers { shared, tasks })
}

/// Opens flows with several requests each, one after the other, until the stop flag is set.
async fn run_caller(
    mut caller: Caller,
    service: usize,
    name: String,
    shared: Arc<Shared>,
) -> Tally {
    let mut tally = Tally::default();
    let mut flows = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        if lock(&shared.reached).is_empty() {
            time::sleep(PAUSE).await;
            continue;
        }
        flows += 1;
        let mut opening = Opening {
            service,
            at: shared.start.elapsed(),
            is_served: false,
        };
        update_balancers(&mut caller, &shared);
        let mut flow = match caller.open().await {
            Ok(flow) => flow,
            Err(end) => {
                tally.note(end);
                tally.openings.push(opening);
                time::sleep(PAUSE).await;
                continue;
            }
        };
        for number in 0..REQUESTS {
            let request = format!("{name}-{flows}-{number}");
            update_balancers(&mut caller, &shared);
            let excused = shared.excused.load(Ordering::Relaxed);
            let end = caller.ask(&mut flow, request.as_bytes(), DEADLINE).await;
            tally.note(end);
            if number == 0 {
                opening.is_served = end == End::Answered;
                tally.openings.push(opening);
            }
            match end {
                End::Answered => {}
                End::WrongAnswer => tally.mixed.push(request),
                End::Reset if !excused && !shared.excused.load(Ordering::Relaxed) => {
                    tally.broken.push(request)
                }
                _ => {}
            }
            if end != End::Answered {
                break;
            }
            time::sleep(shared.pause).await;
        }
        caller.close(flow).await;
    }
    tally
}

/// Updates the caller's balancers to those in the current rotation that its packets reach. While there
/// are none, the caller keeps the last ones.
fn update_balancers(caller: &mut Caller, shared: &Shared) {
    let mut balancers = lock(&shared.rotation).clone();
    let reached = lock(&shared.reached);
    balancers.retain(|balancer| reached.contains(balancer));
    if !balancers.is_empty() {
        caller.set_balancers(balancers);
    }
}

fn lock(rotation: &Rotation) -> MutexGuard<'_, Vec<SocketAddrV4>> {
    rotation.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A step of the fault phase.
enum Step<'a> {
    Begin(&'a Fault),
    End(&'a Fault),
    /// A server writes its entry again after a lapse.
    Rejoin(u8),
}

/// The steps of a fault with their times, relative to the start of the fault phase.
fn steps(entry: &Entry, servers: u8) -> Vec<(Duration, Step<'_>)> {
    let (at, end, fault) = (entry.at, entry.end(), &entry.fault);
    let mut steps = vec![(at, Step::Begin(fault)), (end, Step::End(fault))];
    if let Fault::Lapse(first) = fault {
        steps.extend((0..servers).map(|index| {
            let part = f64::from(index + 1) / f64::from(servers);
            let at = end + fault::REJOIN.mul_f64(part);
            (at, Step::Rejoin((first + index) % servers))
        }));
    }
    steps
}

/// Injects and reverts the faults at their scheduled times.
async fn run_faults(fleet: &mut Fleet, faults: &[Entry], shared: &Shared) -> anyhow::Result<()> {
    let servers = fleet.servers.len() as u8;
    let steps = faults.iter().flat_map(|entry| steps(entry, servers));
    let mut steps: Vec<(Duration, Step<'_>)> = steps.collect();
    steps.sort_by_key(|(at, _)| *at);
    for (at, step) in steps {
        time::sleep_until(shared.start + at).await;
        match step {
            Step::Begin(fault) => {
                if fault.ends_flows() {
                    // The effects outlast the fault, so resets are ignored from here to the end of
                    // the phase. Seeds without such faults check all resets.
                    shared.excused.store(true, Ordering::Relaxed);
                }
                fault.begin(fleet)?;
            }
            Step::End(fault) => fault.end(fleet)?,
            Step::Rejoin(server) => fleet.announce(server),
        }
    }
    Ok(())
}
