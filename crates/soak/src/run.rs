//! Plays a seed: callers keep calling while faults begin and end.

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

/// A deployment and how hard it is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// Seed of the faults.
    pub seed: u64,
    /// Balancers.
    pub balancers: u8,
    /// Backend servers of each of two services.
    pub servers: u8,
    /// Callers of each service.
    pub callers: u8,
    /// Faults of balancers, of the store and the ways to it, and of servers.
    pub faults: usize,
    /// Faults between balancers, drawn apart, so that a seed without them plays as it always has.
    pub mesh: usize,
    /// How long faults begin.
    pub span: Duration,
}

impl Plan {
    /// The usual size: a few dozen processes and tasks, ten faults in six seconds.
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

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The faults, in order.
    pub faults: Vec<Entry>,
    /// What callers saw while they lasted.
    pub tally: Tally,
    /// What callers saw after all was well again.
    pub recovered: Tally,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
    /// Logs of the balancers' last lives, if a promise was broken.
    pub logs: Vec<String>,
}

/// Tells the draw of faults between balancers from that of the others.
const MESH: u64 = 0x6d65_7368;
/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(5);
/// How long a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Requests of a flow.
const REQUESTS: u32 = 8;
/// Between two requests of a flow.
const PAUSE: Duration = Duration::from_millis(40);
/// How long callers call once all is well again.
const CALM: Duration = Duration::from_secs(2);

/// What all callers of a run share.
#[derive(Debug)]
struct Shared {
    rotation: Rotation,
    stop: AtomicBool,
    /// Whether a server is disturbed or a route gone, or was a moment ago, so that flows may end.
    excused: AtomicBool,
}

/// Plays a plan.
///
/// # Errors
/// When the deployment can't be started or steered.
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
    let mut apart = Pcg64::seed_from_u64(plan.seed ^ MESH);
    faults.extend(fault::draw_mesh(
        &mut apart,
        plan.mesh,
        plan.span,
        plan.balancers,
    ));
    faults.sort_by_key(|entry| entry.at);
    let disturbed = begin_calls(&fleet, plan, "d").await?;
    carry_out(&mut fleet, &faults, &disturbed.shared).await?;
    time::sleep(SETTLE).await;
    let tally = disturbed.end().await;
    let calm = begin_calls(&fleet, plan, "c").await?;
    time::sleep(CALM).await;
    let recovered = calm.end().await;
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

/// Callers at work.
struct Calls {
    shared: Arc<Shared>,
    tasks: JoinSet<Tally>,
}

impl Calls {
    async fn end(mut self) -> Tally {
        self.shared.stop.store(true, Ordering::Relaxed);
        let mut tally = Tally::default();
        while let Some(joined) = self.tasks.join_next().await {
            // A caller that panicked has found a fault of the soak itself.
            tally.add(joined.expect("a caller that ends"));
        }
        tally
    }
}

async fn begin_calls(fleet: &Fleet, plan: Plan, phase: &'static str) -> anyhow::Result<Calls> {
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
        tasks.spawn(call(caller, name, Arc::clone(&shared)));
    }
    Ok(Calls { shared, tasks })
}

/// A caller: flows of several requests, one after the other, until told to stop.
async fn call(mut caller: Caller, name: String, shared: Arc<Shared>) -> Tally {
    let mut tally = Tally::default();
    let mut flows = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        flows += 1;
        spread(&mut caller, &shared);
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
            spread(&mut caller, &shared);
            let excused = shared.excused.load(Ordering::Relaxed);
            let end = caller.ask(&mut flow, request.as_bytes(), DEADLINE).await;
            tally.note(end);
            match end {
                End::Answered => {}
                End::Mixed => tally.mixed.push(request),
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

/// Takes the rotation as it is; with nobody in it, the balancers that were in it last.
fn spread(caller: &mut Caller, shared: &Shared) {
    let rotation = shared
        .rotation
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if !rotation.is_empty() {
        caller.set_balancers(rotation.clone());
    }
}

/// Begins and ends faults at their times.
async fn carry_out(fleet: &mut Fleet, faults: &[Entry], shared: &Shared) -> anyhow::Result<()> {
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
            // Its effects outlast it, so from the first one on no reset of this phase is judged;
            // seeds without such faults judge them all.
            shared.excused.store(true, Ordering::Relaxed);
        }
        match begins {
            true => entry.fault.begin(fleet)?,
            false => entry.fault.end(fleet)?,
        }
    }
    Ok(())
}
