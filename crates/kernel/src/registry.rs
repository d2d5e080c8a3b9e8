use std::any::Any;
use std::sync::Arc;
use std::sync::mpsc::channel;

use acacia_wire::collections::Map;

use crate::context::Handle;
use crate::run::RunningService;
use crate::{BoxError, Context, Error, Kernel};

type StartFn = Box<dyn FnOnce(&mut Context<'_>) -> Result<Handle, BoxError>>;

/// A service of the process that is not started yet.
pub struct Service {
    name: Arc<str>,
    dependencies: Vec<Arc<str>>,
    start: StartFn,
}

impl Service {
    /// Creates a service from its name, its dependencies and the closure that starts it.
    ///
    /// The closure returns the handle that dependent services find. It should spawn threads only
    /// through the [`Context`].
    pub fn new<const N: usize, T: Any + Send + Sync>(
        name: &str,
        dependencies: [&str; N],
        start: impl FnOnce(&mut Context<'_>) -> Result<T, BoxError> + 'static,
    ) -> Self {
        Service {
            name: name.into(),
            dependencies: dependencies.into_iter().map(Into::into).collect(),
            start: Box::new(|context| Ok(Arc::new(start(context)?))),
        }
    }
}

/// The services of one process, by name.
#[derive(Default)]
pub struct Registry {
    services: Vec<Service>,
}

impl Registry {
    /// Adds a service. Names and dependencies are checked by [`Registry::start`], so services can
    /// be added in any order.
    pub fn add(&mut self, service: Service) {
        self.services.push(service);
    }

    /// Starts every service after its dependencies. If one fails, the services that were already
    /// started are stopped in reverse order and their threads joined.
    pub fn start(self) -> Result<Kernel, Error> {
        let (events, received) = channel();
        let mut handles: Map<Arc<str>, Handle> = Map::default();
        let mut kernel = Kernel::new(events.clone(), received);
        for service in sort_by_dependencies(self.services)? {
            let mut context = Context {
                name: Arc::clone(&service.name),
                dependencies: &service.dependencies,
                handles: &handles,
                events: events.clone(),
                threads: Vec::new(),
                stop: None,
            };
            let handle = (service.start)(&mut context);
            // A service that failed is added too, because it may have spawned threads before.
            kernel.push(RunningService {
                name: context.name,
                threads: context.threads,
                stop: context.stop,
            });
            match handle {
                Ok(handle) => handles.insert(service.name, handle),
                Err(source) => {
                    kernel.stop_all();
                    return Err(Error::StartFailed {
                        service: service.name,
                        source,
                    });
                }
            };
        }
        Ok(kernel)
    }
}

/// Sorts the services so that each comes after its dependencies. The order is otherwise kept.
fn sort_by_dependencies(services: Vec<Service>) -> Result<Vec<Service>, Error> {
    check_names(&services)?;
    let mut sorted: Vec<Service> = Vec::with_capacity(services.len());
    let mut pending = services;
    while !pending.is_empty() {
        let is_sorted = |name: &Arc<str>| sorted.iter().any(|service| service.name == *name);
        let Some(at) = pending
            .iter()
            .position(|service| service.dependencies.iter().all(is_sorted))
        else {
            return Err(Error::Cycle(find_cycle(&pending)));
        };
        sorted.push(pending.remove(at));
    }
    Ok(sorted)
}

fn check_names(services: &[Service]) -> Result<(), Error> {
    for (at, service) in services.iter().enumerate() {
        if services[..at]
            .iter()
            .any(|other| other.name == service.name)
        {
            return Err(Error::Duplicate(Arc::clone(&service.name)));
        }
        let missing = |needed: &&Arc<str>| !services.iter().any(|other| other.name == **needed);
        if let Some(needed) = service.dependencies.iter().find(missing) {
            return Err(Error::Missing {
                service: Arc::clone(&service.name),
                needed: Arc::clone(needed),
            });
        }
    }
    Ok(())
}

/// Returns the names of the services on one cycle.
///
/// Every pending service depends on another pending service, so following the dependencies
/// eventually reaches a service for the second time.
fn find_cycle(pending: &[Service]) -> Vec<Arc<str>> {
    let mut path: Vec<&Service> = vec![&pending[0]];
    loop {
        let last = path[path.len() - 1];
        let next = pending
            .iter()
            .find(|service| last.dependencies.contains(&service.name))
            .unwrap_or(last);
        if let Some(at) = path.iter().position(|service| service.name == next.name) {
            return path[at..]
                .iter()
                .map(|service| Arc::clone(&service.name))
                .collect();
        }
        path.push(next);
    }
}
