use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread::{Builder, JoinHandle};

use acacia_wire::collections::Map;

use crate::run::{Event, Exit};
use crate::{BoxError, Error};

/// The value that a service provides to the services that depend on it.
pub(crate) type Handle = Arc<dyn Any + Send + Sync>;
/// The callback that tells a service's threads to end.
pub(crate) type StopCallback = Box<dyn FnOnce() + Send>;

/// The argument of a start closure. It provides the handles of the service's dependencies and
/// spawns threads that the kernel monitors and joins.
pub struct Context<'a> {
    pub(crate) name: Arc<str>,
    pub(crate) dependencies: &'a [Arc<str>],
    pub(crate) handles: &'a Map<Arc<str>, Handle>,
    pub(crate) events: Sender<Event>,
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) stop: Option<StopCallback>,
}

impl Context<'_> {
    /// Returns the handle of a dependency.
    ///
    /// Only declared dependencies are found, because the order of starting and stopping is derived
    /// from them.
    ///
    /// ```
    /// use acacia_kernel::{Registry, Service};
    /// let mut registry = Registry::default();
    /// registry.add(Service::new("clock", [], |_| Ok(7u32)));
    /// registry.add(Service::new("user", ["clock"], |context| {
    ///     assert_eq!(*context.find::<u32>("clock")?, 7);
    ///     Ok(())
    /// }));
    /// let kernel = registry.start().unwrap();
    /// kernel.stopper().stop();
    /// assert!(kernel.wait().exit.is_none());
    /// ```
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Result<Arc<T>, Error> {
        let handle = self
            .dependencies
            .iter()
            .find(|dependency| &***dependency == name)
            .and_then(|dependency| self.handles.get(dependency))
            .ok_or_else(|| Error::Missing {
                service: Arc::clone(&self.name),
                needed: name.into(),
            })?;
        Arc::clone(handle)
            .downcast::<T>()
            .map_err(|_| Error::WrongType {
                service: Arc::clone(&self.name),
                needed: name.into(),
            })
    }

    /// Spawns a thread of this service. If the thread returns or panics before the service is
    /// stopped, all services of the process are stopped in order.
    pub fn spawn<F>(&mut self, task: F) -> Result<(), std::io::Error>
    where
        F: FnOnce() -> Result<(), BoxError> + Send + 'static,
    {
        let service = Arc::clone(&self.name);
        let events = self.events.clone();
        let thread = Builder::new().name(service.to_string()).spawn(move || {
            // The closure is consumed, so its state can't be observed after a panic.
            let reason = match catch_unwind(AssertUnwindSafe(task)) {
                Ok(Ok(())) => "returned".to_owned(),
                Ok(Err(error)) => error.to_string(),
                Err(panic) => panic_message(panic.as_ref()),
            };
            // Sending can fail only after the kernel has stopped, when the exit is expected.
            let _ = events.send(Event::ServiceExited(Exit { service, reason }));
        })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Sets the callback that tells the service's threads to end. It is called once, before the
    /// threads are joined, from the thread that waits on the kernel.
    pub fn on_stop(&mut self, stop: impl FnOnce() + Send + 'static) {
        self.stop = Some(Box::new(stop));
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let message = panic
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    format!("panicked: {}", message.unwrap_or("no message"))
}
