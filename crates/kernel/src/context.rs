use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread::{Builder, JoinHandle};

use acacia_wire::collections::Map;

use crate::run::{Signal, UnexpectedExit};
use crate::{BoxError, Error};

/// What a service hands to those that need it.
pub(crate) type Handle = Arc<dyn Any + Send + Sync>;
/// Tells a service's threads to end.
pub(crate) type Stop = Box<dyn FnOnce() + Send>;

/// What a start closure gets: the services it needs, and the means to spawn threads that the
/// kernel watches and joins.
pub struct Context<'a> {
    pub(crate) name: Arc<str>,
    pub(crate) needs: &'a [Arc<str>],
    pub(crate) handles: &'a Map<Arc<str>, Handle>,
    pub(crate) signals: Sender<Signal>,
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) stop: Option<Stop>,
}

impl Context<'_> {
    /// Finds the handle of a service among those this one needs.
    ///
    /// Only declared needs are found: the order of starting and stopping rests on them.
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
    /// assert!(kernel.wait().unexpected_exit.is_none());
    /// ```
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Result<Arc<T>, Error> {
        let handle = self
            .needs
            .iter()
            .find(|needed| &***needed == name)
            .and_then(|needed| self.handles.get(needed))
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

    /// Spawns a thread of this service. If it returns or panics before the service is stopped, the
    /// service has died and the process is taken down in order.
    pub fn spawn<F>(&mut self, task: F) -> Result<(), std::io::Error>
    where
        F: FnOnce() -> Result<(), BoxError> + Send + 'static,
    {
        let service = Arc::clone(&self.name);
        let signals = self.signals.clone();
        let thread = Builder::new().name(service.to_string()).spawn(move || {
            // The closure is consumed, so no state of it can be seen after a panic.
            let reason = match catch_unwind(AssertUnwindSafe(task)) {
                Ok(Ok(())) => "returned".to_owned(),
                Ok(Err(error)) => error.to_string(),
                Err(panic) => panic_text(panic.as_ref()),
            };
            // The kernel may be past listening: then the end was asked for.
            let _ = signals.send(Signal::Ended(UnexpectedExit { service, reason }));
        })?;
        self.threads.push(thread);
        Ok(())
    }

    /// Sets how the service's threads are told to end. It is called once, from the thread that
    /// waits on the kernel, before the threads are joined.
    pub fn on_stop(&mut self, stop: impl FnOnce() + Send + 'static) {
        self.stop = Some(Box::new(stop));
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    format!("panicked: {}", text.unwrap_or("no message"))
}
