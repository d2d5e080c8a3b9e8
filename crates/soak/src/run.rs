//! Runs one seed with the cookie transport: callers send requests while faults are injected and
//! reverted.

use std::{
    sync::{
        Arc, PoisonError,
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
    fault::{self, Entry},
    fleet::{Fleet, Rotation},
    watch::{Breach, SETTLE, ServerRecord, Tally, judge},
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
            span: Duration::from_secs(6),
        }
    }
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The faults in order of their start.
    pub faults: Vec<Entry>,
    /// What callers observed during the faults and until [`SETTLE`] after them.
    pub tally: Tally,
    /// What callers observed after the recovery.
    pub recovered: Tally,
    /// Violated guarantees.
    pub breaches: Vec<Breach>,
    /// Logs of the balancers' current processes, if a guarantee was violated.
    pub logs: Vec<String>,
}

/// XORed into the seed of the generator of faults between balancers.
const MESH_SEED: u64 = 0x6d65_7368;
/// Processing time of a request at a backend server.
const WORK: Duration = Duration::from_millis(5);
/// Time limit for an answer.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Number of requests of a flow.
const REQUESTS: u32 = 8;
/// Delay between two requests of a flow, and after a failed attempt to open one.
const PAUSE: Duration = Duration::from_millis(40);
/// Duration of the phase after the recovery.
const RECOVERY_PHASE: Duration = Duration::from_secs(2);

/// State shared by all callers of a phase.
#[derive(Debug)]
struct Shared {
    rotation: Rotation,
    stop: AtomicBool,
    /// Set from the first fault that may end flows; resets do not count as violations then.
    excused: AtomicBool,
}

/// Runs a plan.
///
/// # Errors
/// When the deployment cannot be started or a fault cannot be injected.
pub async fn play(plan: Plan) -> anyhow::Result<Report> {
    let mut fleet = Fleet::start(plan.balancers, plan.servers, WORK).await?;
    let mut random = Pcg64::seed_from_u64(plan.seed);
    let mut faults = fault::draw(
        &mut random,
        plan.faults,
        plan.span,
        plan.balancers,
        2 * plan.servers,
    );
    let mut mesh_random = Pcg64::seed_from_u64(plan.seed ^ MESH_SEED);
    faults.extend(fault::draw_mesh(
        &mut mesh_random,
        plan.mesh,
        plan.span,
        plan.balancers,
    ));
    faults.sort_by_key(|entry| entry.at);
    let fault_phase = start_callers(&fleet, plan, "d").await?;
    run_faults(&mut fleet, &faults, &fault_phase.shared).await?;
    time::sleep(SETTLE).await;
    let tally = fault_phase.end().await;
    let recovery_phase = start_callers(&fleet, plan, "c").await?;
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
    let breaches = judge(&tally, &recovered, &ran);
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

async fn start_callers(fleet: &Fleet, plan: Plan, phase: &'static str) -> anyhow::Result<Callers> {
    let shared = Arc::new(Shared {
        rotation: fleet.rotation(),
        stop: AtomicBool::new(false),
        excused: AtomicBool::new(false),
    });
    let mut tasks = JoinSet::new();
    for number in 0..2 * plan.callers {
        let service = usize::from(number % 2);
        let caller = fleet.caller(number, service).await?;
        let name = format!("{service}-{phase}-{number}");
        tasks.spawn(run_caller(caller, name, Arc::clone(&shared)));
    }
    Ok(Callers { shared, tasks })
}

/// Opens flows with several requests each, one after the other, until the stop flag is set.
async fn run_caller(mut caller: Caller, name: String, shared: Arc<Shared>) -> Tally {
    let mut tally = Tally::default();
    let mut flows = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        flows += 1;
        update_balancers(&mut caller, &shared);
        let mut flow = match caller.open().await {
            Ok(flow) => flow,
            Err(end) => {
                tally.note(end);
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
            time::sleep(PAUSE).await;
        }
        caller.close(flow).await;
    }
    tally
}

/// Updates the caller's balancers to the current rotation. While that is empty, the caller keeps
/// the last one.
fn update_balancers(caller: &mut Caller, shared: &Shared) {
    let rotation = shared
        .rotation
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if !rotation.is_empty() {
        caller.set_balancers(rotation.clone());
    }
}

/// Injects and reverts the faults at their scheduled times.
async fn run_faults(fleet: &mut Fleet, faults: &[Entry], shared: &Shared) -> anyhow::Result<()> {
    let mut steps: Vec<(Duration, bool, &Entry)> = faults
        .iter()
        .flat_map(|entry| {
            [
                (entry.at, true, entry),
                (entry.at + entry.lasts, false, entry),
            ]
        })
        .collect();
    steps.sort_by_key(|(at, ..)| *at);
    let start = Instant::now();
    for (at, begins, entry) in steps {
        time::sleep_until(start + at).await;
        if entry.fault.ends_flows() {
            // The effects outlast the fault, so resets are ignored from here to the end of the
            // phase. Seeds without such faults check all resets.
            shared.excused.store(true, Ordering::Relaxed);
        }
        match begins {
            true => entry.fault.begin(fleet)?,
            false => entry.fault.end(fleet)?,
        }
    }
    Ok(())
}
