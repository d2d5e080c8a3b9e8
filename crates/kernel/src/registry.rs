use std::any::Any;
use std::sync::Arc;
use std::sync::mpsc::channel;

use acacia_wire::collections::Map;

use crate::context::Handle;
use crate::run::Started;
use crate::{BoxError, Context, Error, Kernel};

type Start = Box<dyn FnOnce(&mut Context<'_>) -> Result<Handle, BoxError>>;

/// One service of the process, not yet started.
pub struct Service {
    name: Arc<str>,
    needs: Vec<Arc<str>>,
    start: Start,
}

impl Service {
    /// Names a service, the services it needs and the closure that starts it. What the closure
    /// returns is the handle that others find; it should spawn threads only through the
    /// [`Context`].
    pub fn new<const N: usize, T: Any + Send + Sync>(
        name: &str,
        needs: [&str; N],
        start: impl FnOnce(&mut Context<'_>) -> Result<T, BoxError> + 'static,
    ) -> Self {
        Service {
            name: name.into(),
            needs: needs.into_iter().map(Into::into).collect(),
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
    /// Adds a service. Names and needs are checked by [`Registry::start`], so the order of adding
    /// doesn't matter.
    pub fn add(&mut self, service: Service) {
        self.services.push(service);
    }

    /// Starts every service after those it needs. When one fails, those already started are
    /// stopped again in reverse order and joined.
    pub fn start(self) -> Result<Kernel, Error> {
        let (signals, received) = channel();
        let mut handles: Map<Arc<str>, Handle> = Map::default();
        let mut kernel = Kernel::new(signals.clone(), received);
        for service in sort(self.services)? {
            let mut context = Context {
                name: Arc::clone(&service.name),
                needs: &service.needs,
                handles: &handles,
                signals: signals.clone(),
                threads: Vec::new(),
                stop: None,
            };
            let handle = (service.start)(&mut context);
            // Taken in also after a failure: it may have spawned threads before it failed.
            kernel.push(Started {
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

/// Puts each service behind those it needs; otherwise keeps the order given.
fn sort(services: Vec<Service>) -> Result<Vec<Service>, Error> {
    check_names(&services)?;
    let mut sorted: Vec<Service> = Vec::with_capacity(services.len());
    let mut waiting = services;
    while !waiting.is_empty() {
        let placed = |name: &Arc<str>| sorted.iter().any(|service| service.name == *name);
        let Some(at) = waiting
            .iter()
            .position(|service| service.needs.iter().all(placed))
        else {
            return Err(Error::Cycle(cycle(&waiting)));
        };
        sorted.push(waiting.remove(at));
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
        if let Some(needed) = service.needs.iter().find(missing) {
            return Err(Error::Missing {
                service: Arc::clone(&service.name),
                needed: Arc::clone(needed),
            });
        }
    }
    Ok(())
}

/// The names of one circle: every service that can't be placed needs another such one, so a walk
/// along the needs comes back to where it has been.
fn cycle(waiting: &[Service]) -> Vec<Arc<str>> {
    let mut path: Vec<&Service> = vec![&waiting[0]];
    loop {
        let last = path[path.len() - 1];
        let next = waiting
            .iter()
            .find(|service| last.needs.contains(&service.name))
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
