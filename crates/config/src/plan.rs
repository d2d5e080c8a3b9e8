//! The difference between two configurations: as typed changes, as the effect on each service and
//! as a text diff.

mod compare;

use std::{fmt, sync::Arc};

use serde::Serialize;
use similar::TextDiff;

use crate::{Config, Mark, State, print};

/// Lines of context in a text diff.
const CONTEXT_LINES: usize = 2;

/// The difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// All changes: those of services, then of servers, then of customers, each sorted by name.
    pub changes: Vec<Change>,
    /// The effect on each service whose slots, share or number of servers change.
    pub effects: Vec<Effect>,
    /// The unified diff of the canonical texts; empty if they are equal.
    pub diff: String,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Change {
    /// A service is added.
    ServiceAdded(Arc<str>),
    /// A service is removed. All of its flows end.
    ServiceRemoved(Arc<str>),
    /// A service gets another address, port or protocol. All of its flows end, because it is no
    /// longer reachable at the old ones.
    ServiceMoved(Arc<str>),
    /// A service's share changes, in percent.
    ShareChanged(Arc<str>, Transition<u8>),
    /// The mark of callers that belong to no customer changes.
    CallersChanged(Arc<str>, Transition<Mark>),
    /// The limit or the objective of a service changes.
    ServiceTuned(Arc<str>),
    /// A backend server is added.
    ServerAdded(Arc<str>),
    /// A backend server is removed. All of its flows end.
    ServerRemoved(Arc<str>),
    /// A backend server gets another address or service. It counts as a different server of the
    /// same name: the flows of the old one end.
    ServerReplaced(Arc<str>),
    /// A backend server starts or stops draining, or its deadline changes.
    ServerState(Arc<str>, Transition<State>),
    /// The data centre or the limit of a backend server changes.
    ServerTuned(Arc<str>),
    /// A customer is added.
    CustomerAdded(Arc<str>),
    /// A customer is removed. Its callers get the mark that each service sets for callers of no
    /// customer.
    CustomerRemoved(Arc<str>),
    /// The mark, weight or prefixes of a customer change.
    CustomerChanged(Arc<str>),
}

/// A value before and after.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Transition<T> {
    /// The value before the change.
    pub from: T,
    /// The value after the change.
    pub to: T,
}

/// The effect of a plan on a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Effect {
    /// The service.
    pub service: Arc<str>,
    /// Its share in percent.
    pub share: Transition<u8>,
    /// Backend servers that get new flows.
    pub active: Transition<usize>,
    /// Backend servers that drain.
    pub draining: Transition<usize>,
    /// Slots of the active backend servers.
    pub slots: Transition<u64>,
}

/// Compares two configurations.
///
/// ```
/// use acacia_config::{Config, Service, plan};
/// let before = Config::default();
/// let mut after = Config::default();
/// after.add_service(Service::new("live", [10, 77, 0, 1], 443, 70));
/// let plan = plan::compare(&before, &after);
/// assert_eq!(plan.changes, [plan::Change::ServiceAdded("live".into())]);
/// assert!(plan.diff.contains("+share = 70%"));
/// assert!(plan::compare(&after, &after).is_empty());
/// ```
#[must_use]
pub fn compare(before: &Config, after: &Config) -> Plan {
    Plan {
        changes: compare::changes(before, after),
        effects: compare::effects(before, after),
        diff: diff(&print(before), &print(after)),
    }
}

/// The unified diff of two texts; empty if they are equal.
///
/// ```
/// assert_eq!(acacia_config::plan::diff("a\n", "a\n"), "");
/// assert!(acacia_config::plan::diff("a\n", "b\n").contains("-a\n+b\n"));
/// ```
#[must_use]
pub fn diff(before: &str, after: &str) -> String {
    if before == after {
        return String::new();
    }
    TextDiff::from_lines(before, after)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header("in force", "planned")
        .to_string()
}

impl Plan {
    /// Whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The services that lose their last active backend server, and so have none for new flows.
    ///
    /// ```
    /// use acacia_config::{Config, Server, Service, State, plan};
    /// let mut before = Config::default();
    /// before
    ///     .add_service(Service::new("live", [10, 77, 0, 1], 443, 70))
    ///     .add_server(Server::new("a", "live", "10.1.0.1:6080".parse()?, "lima-a"));
    /// let mut after = before.clone();
    /// after.update_server("a", |server| server.state = State::Drain { deadline: None });
    /// let plan = plan::compare(&before, &after);
    /// assert_eq!(plan.unserved_services().count(), 1);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn unserved_services(&self) -> impl Iterator<Item = &Effect> {
        let loses_all = |e: &&Effect| e.active.to == 0 && e.active.from > 0 && e.share.to > 0;
        self.effects.iter().filter(loses_all)
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::ServiceAdded(name) => write!(f, "add service {name}"),
            Change::ServiceRemoved(name) => write!(f, "remove service {name}, ending its flows"),
            Change::ServiceMoved(name) => write!(f, "move service {name}, ending its flows"),
            Change::ShareChanged(name, transition) => {
                write!(
                    f,
                    "share of {name} from {}% to {}%",
                    transition.from, transition.to
                )
            }
            Change::CallersChanged(name, transition) => {
                let (from, to) = (transition.from.label(), transition.to.label());
                write!(f, "other callers of {name} from {from} to {to}")
            }
            Change::ServiceTuned(name) => write!(f, "limits or objective of {name}"),
            Change::ServerAdded(name) => write!(f, "add backend server {name}"),
            Change::ServerRemoved(name) => {
                write!(f, "remove backend server {name}, ending its flows")
            }
            Change::ServerReplaced(name) => {
                write!(
                    f,
                    "replace backend server {name}, ending the old one's flows"
                )
            }
            Change::ServerState(name, transition) => match transition.to {
                State::Active => write!(f, "undrain backend server {name}"),
                State::Drain { deadline: None } => write!(f, "drain backend server {name}"),
                State::Drain {
                    deadline: Some(deadline),
                } => write!(f, "drain backend server {name} until {deadline}"),
            },
            Change::ServerTuned(name) => write!(f, "limit or data centre of {name}"),
            Change::CustomerAdded(name) => write!(f, "add customer {name}"),
            Change::CustomerRemoved(name) => write!(f, "remove customer {name}"),
            Change::CustomerChanged(name) => write!(f, "customer {name}"),
        }
    }
}
