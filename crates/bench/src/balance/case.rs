use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

/// A service of a reference deployment and the servers behind it.
#[derive(Debug)]
pub struct Site {
    /// Name of the deployment, as matched by `--sites`.
    pub name: &'static str,
    /// Name of the service.
    pub service: &'static str,
    /// Number of backend servers.
    pub hosts: usize,
    /// Requests that each server processes in parallel.
    pub slots: u32,
    /// Round-trip time between caller and backend server, through a balancer, in seconds.
    pub round_trip: f64,
}

/// A large and a small service of each reference deployment.
pub const SITES: &[Site] = &[
    Site {
        name: "tampere",
        service: "talkoo-live",
        hosts: 15,
        slots: 2,
        round_trip: 0.004,
    },
    Site {
        name: "tampere",
        service: "karttapalvelu",
        hosts: 4,
        slots: 2,
        round_trip: 0.004,
    },
    Site {
        name: "lima",
        service: "matricula",
        hosts: 15,
        slots: 3,
        round_trip: 0.003,
    },
    Site {
        name: "lima",
        service: "recetario",
        hosts: 4,
        slots: 3,
        round_trip: 0.003,
    },
];

/// Maximum number of open connections at a backend server.
pub const MAX_CONNECTIONS: u32 = 2_000;
/// Time at which a case's fault or change occurs and measurement begins, in seconds. The warm-up
/// before it lets the weights converge.
pub const BEGIN: f64 = 60.0;
/// Time at which a temporary fault ends, in seconds.
pub const HEAL: f64 = 90.0;
/// Time at which arrivals and measurement end, in seconds.
pub const END: f64 = 120.0;

/// Demand from one time until the next entry, as fractions of the pool's true capacity.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Start time in seconds.
    pub from: f64,
    /// Demand from paying callers.
    pub paying: f64,
    /// Demand from trial callers.
    pub trial: f64,
}

/// The fault that occurs at [`BEGIN`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// The fastest server runs at a quarter of its speed until [`HEAL`].
    Slow,
    /// One server stops answering until [`HEAL`] while its health endpoint reports it healthy.
    Hung,
    /// One server resets most new connections until [`HEAL`].
    Shed,
    /// One server joins at a tenth of its speed and warms up within 20 s.
    Cold,
    /// One of eight balancers fails permanently; the fabric and its peers detect it after 2 s.
    Balancer,
    /// Balancers receive no reports from each other until [`HEAL`].
    Silence,
    /// One server slows down and its health endpoint reports it unhealthy 10 s late; the endpoint
    /// of a healthy server wrongly reports that one unhealthy.
    Lies,
}

/// A simulated case.
#[derive(Debug, Clone)]
pub struct Case {
    /// Name of the case, as matched by `--cases`.
    pub name: &'static str,
    /// Demand over time, in order.
    pub demand: Vec<Demand>,
    /// The fault that occurs.
    pub fault: Fault,
    /// Fraction of flows that fall into a few hot buckets.
    pub skew: f64,
}

fn demand(from: f64, paying: f64, trial: f64) -> Demand {
    Demand {
        from,
        paying,
        trial,
    }
}

impl Case {
    /// Every case.
    #[must_use]
    pub fn all() -> Vec<Case> {
        let usual = || vec![demand(0.0, 0.5, 0.2)];
        let case = |name, demand, fault| Case {
            name,
            demand,
            fault,
            skew: 0.0,
        };
        let bursts = (0..8).flat_map(|number| {
            let from = 15.0 * f64::from(number);
            [demand(from, 0.8, 0.2), demand(from + 2.0, 0.35, 0.15)]
        });
        vec![
            case("steady", usual(), Fault::None),
            case("burst", bursts.collect(), Fault::None),
            Case {
                skew: 0.1,
                ..case("skew", usual(), Fault::None)
            },
            case("slow", usual(), Fault::Slow),
            case("hung", usual(), Fault::Hung),
            case("shed", usual(), Fault::Shed),
            case("lies", usual(), Fault::Lies),
            case("cold", usual(), Fault::Cold),
            case("balancer", usual(), Fault::Balancer),
            case("silence", usual(), Fault::Silence),
            case(
                "flood",
                vec![demand(0.0, 0.5, 0.2), demand(BEGIN, 0.5, 2.0)],
                Fault::None,
            ),
            case(
                "flood-first",
                vec![demand(0.0, 0.0, 2.0), demand(BEGIN, 0.5, 2.0)],
                Fault::None,
            ),
            case(
                "flood-return",
                vec![
                    demand(0.0, 0.5, 0.2),
                    demand(10.0, 0.0, 2.0),
                    demand(BEGIN, 0.5, 2.0),
                ],
                Fault::None,
            ),
            case(
                "flood-balancer",
                vec![demand(0.0, 0.5, 0.2), demand(BEGIN - 10.0, 0.5, 2.0)],
                Fault::Balancer,
            ),
            case(
                "saturation",
                vec![demand(0.0, 0.5, 0.2), demand(30.0, 1.2, 0.8)],
                Fault::None,
            ),
            case(
                "enrolment",
                vec![demand(0.0, 0.4, 0.1), demand(BEGIN, 0.85, 0.3)],
                Fault::None,
            ),
        ]
    }
}

/// A case applied to a site, with the servers' true speeds and the arrival rates.
#[derive(Debug)]
pub struct Scene {
    /// The case.
    pub case: Case,
    /// Requests that each server processes in parallel.
    pub slots: u32,
    /// Round-trip time between caller and backend server, in seconds.
    pub round_trip: f64,
    /// True speed of each server, from 1 to 4.
    pub speeds: Vec<f64>,
    /// Mean service time of a short request at speed 1, in seconds.
    pub work: f64,
    /// Mean service time over short and long requests at speed 1, in seconds.
    pub mean: f64,
    /// Fraction of acknowledgements that callers delay, which makes them useless as latency
    /// samples.
    pub delayed: f64,
    /// Whether to print the state of the balancer that writes the table every second.
    pub trace: bool,
    /// Flows per second that all servers together can process.
    pub capacity: f64,
}

/// Fraction of flows with a long request, such as a slow report or a large map.
pub const LONG_FRACTION: f64 = 0.05;
/// Ratio of the mean service time of long requests to that of short ones.
pub const LONG_WORK_RATIO: f64 = 6.0;
/// Fraction of flows that stay open as feeds after their answer.
pub const FEED_FRACTION: f64 = 0.02;
/// Mean lifetime of a feed, in seconds.
pub const MEAN_FEED_LIFETIME: f64 = 60.0;

impl Scene {
    /// Draws the speeds at random: server 0 has speed 4, server 1 speed 1, the others lie between.
    #[must_use]
    pub fn new(site: &Site, case: &Case, work: f64, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x5eed);
        let mut speeds: Vec<f64> = (0..site.hosts)
            .map(|_| rng.random_range(1.0..=4.0))
            .collect();
        speeds[0] = 4.0;
        speeds[1] = 1.0;
        let mean = work * (1.0 - LONG_FRACTION + LONG_FRACTION * LONG_WORK_RATIO);
        let usable = if case.fault == Fault::Cold {
            &speeds[1..]
        } else {
            &speeds[..]
        };
        let capacity = usable.iter().sum::<f64>() * f64::from(site.slots) / mean;
        Scene {
            case: case.clone(),
            slots: site.slots,
            round_trip: site.round_trip,
            speeds,
            work,
            mean,
            delayed: 0.0,
            trace: false,
            capacity,
        }
    }

    /// Arrival rates of paying and trial flows at the time `now`, in flows per second.
    #[must_use]
    pub fn rates(&self, now: f64) -> [f64; 2] {
        let current = self
            .case
            .demand
            .iter()
            .rev()
            .find(|demand| demand.from <= now);
        current.map_or([0.0; 2], |demand| {
            [demand.paying * self.capacity, demand.trial * self.capacity]
        })
    }
}
