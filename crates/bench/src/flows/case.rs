/// What happens while the flows are open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Case {
    /// One backend server drains.
    Drain,
    /// A balancer crashes in the middle of a drain.
    DrainCrash,
    /// A backend server is added.
    Add,
    /// A third of the backend servers get other weights.
    Reweight,
    /// All balancers are replaced one after another during a drain.
    Rolling,
    /// The store is down for ten minutes, and three servers drain meanwhile.
    StoreDown,
    /// Half of the balancers are cut off from the others for 20 s during a drain.
    CutHeal,
    /// All of it in sequence.
    All,
}

/// One change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A server stops to take new flows.
    Drain(u16),
    /// A server is added.
    Add(u16),
    /// Every third server gets half its weight, the next one twice.
    Reweight,
    /// A balancer hands over, ends, and a new process takes its place.
    Replace(u16),
    /// A balancer ends without notice.
    Crash(u16),
    /// A crashed balancer's successor starts.
    Start(u16),
    /// The lower half of the balancers is cut off from the others.
    Cut,
    /// The cut ends.
    Heal,
    /// Tables take longer to reach everyone: they pass between balancers only.
    StoreDown,
}

impl Case {
    /// All of them.
    pub const ALL: [Case; 8] = [
        Case::Drain,
        Case::DrainCrash,
        Case::Add,
        Case::Reweight,
        Case::Rolling,
        Case::StoreDown,
        Case::CutHeal,
        Case::All,
    ];

    /// The changes with their times in seconds after the flows are open.
    #[must_use]
    pub fn timeline(self, balancers: u16, servers: u16) -> Vec<(u64, Change)> {
        use Change::*;
        match self {
            Case::Drain => vec![(2, Drain(0))],
            Case::DrainCrash => vec![(2, Drain(0)), (15, Crash(0)), (25, Start(0))],
            Case::Add => vec![(2, Add(servers))],
            Case::Reweight => vec![(2, Reweight)],
            Case::Rolling => {
                let replace = (0..balancers).map(|id| (12 + 25 * u64::from(id), Replace(id)));
                [(2, Drain(0))].into_iter().chain(replace).collect()
            }
            Case::StoreDown => vec![
                (1, StoreDown),
                (10, Drain(0)),
                (120, Drain(1)),
                (240, Replace(0)),
                (360, Drain(2)),
            ],
            Case::CutHeal => vec![(2, Drain(0)), (15, Cut), (35, Heal)],
            Case::All => vec![
                (2, Drain(0)),
                (15, Reweight),
                (30, Replace(1)),
                (55, Add(servers)),
                (70, Crash(2)),
                (80, Start(2)),
                (110, Cut),
                (130, Heal),
                (140, Drain(1)),
            ],
        }
    }

    /// Seconds that the case lasts at least.
    #[must_use]
    pub fn seconds(self, balancers: u16) -> u64 {
        match self {
            Case::Drain | Case::Add | Case::Reweight => 0,
            Case::DrainCrash | Case::CutHeal => 60,
            Case::Rolling => 12 + 25 * u64::from(balancers) + 20,
            Case::StoreDown => 600,
            Case::All => 170,
        }
    }
}
