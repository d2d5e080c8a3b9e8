use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender};
use std::thread::JoinHandle;

use acacia_code::Code;

use crate::context::StopCallback;

/// An event that ends [`Kernel::wait`].
pub(crate) enum Event {
    /// A thread of a service has exited.
    ServiceExited(Exit),
    /// A stop was requested.
    StopRequested,
}

/// A started service with its threads.
pub(crate) struct RunningService {
    pub(crate) name: Arc<str>,
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) stop: Option<StopCallback>,
}

/// The exit of a service that was not stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exit {
    /// The name of the service.
    pub service: Arc<str>,
    /// Why its thread exited: the error, the panic message, or `returned`.
    pub reason: String,
}

/// How the process ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The first unexpected exit of a service, or `None` after a requested stop.
    pub exit: Option<Exit>,
}

impl Outcome {
    /// Returns the result code, from which the exit status follows.
    ///
    /// ```
    /// let outcome = acacia_kernel::Outcome { exit: None };
    /// assert_eq!(outcome.code().exit_status(), 0);
    /// ```
    #[must_use]
    pub fn code(&self) -> Code {
        match self.exit {
            Some(_) => Code::ServiceDied,
            None => Code::Success,
        }
    }
}

/// Requests a stop of the kernel from any thread, for example on a signal or an operator's request.
#[derive(Clone)]
pub struct Stopper(Sender<Event>);

impl Stopper {
    /// Requests an orderly stop. Further calls have no effect.
    pub fn stop(&self) {
        // The receiver is gone if the kernel has already stopped.
        let _ = self.0.send(Event::StopRequested);
    }
}

/// The running services of the process. Dropping the kernel stops them.
pub struct Kernel {
    events: Sender<Event>,
    received: Receiver<Event>,
    services: Vec<RunningService>,
}

impl Kernel {
    pub(crate) fn new(events: Sender<Event>, received: Receiver<Event>) -> Self {
        Kernel {
            events,
            received,
            services: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, service: RunningService) {
        log::info!("event=service_start service={}", service.name);
        self.services.push(service);
    }

    /// Returns a handle with which other threads can request a stop.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        Stopper(self.events.clone())
    }

    /// Blocks until a stop is requested or a service exits unexpectedly, then stops all services
    /// in reverse start order and joins their threads.
    ///
    /// ```
    /// use acacia_kernel::{Registry, Service};
    /// let mut registry = Registry::default();
    /// registry.add(Service::new("short", [], |context| {
    ///     context.spawn(|| Err("socket closed".into()))?;
    ///     Ok(())
    /// }));
    /// let outcome = registry.start().unwrap().wait();
    /// assert_eq!(outcome.code(), acacia_code::Code::ServiceDied);
    /// assert_eq!(outcome.exit.unwrap().reason, "socket closed");
    /// ```
    #[must_use]
    pub fn wait(mut self) -> Outcome {
        let exit = match self.received.recv() {
            Ok(Event::ServiceExited(exit)) => Some(exit),
            Ok(Event::StopRequested) | Err(_) => None,
        };
        if let Some(Exit { service, reason }) = &exit {
            let code = Code::ServiceDied;
            log::error!("event=service_died code={code} service={service} reason={reason:?}");
        }
        self.stop_all();
        Outcome { exit }
    }

    /// Stops all services in reverse start order, because a service may use its dependencies until
    /// it has stopped itself.
    pub(crate) fn stop_all(&mut self) {
        while let Some(service) = self.services.pop() {
            if let Some(stop) = service.stop {
                stop();
            }
            for thread in service.threads {
                // Panics are caught inside the threads, so joining can't fail.
                let _ = thread.join();
            }
            log::info!("event=service_stop service={}", service.name);
        }
    }
}

impl Drop for Kernel {
    fn drop(&mut self) {
        self.stop_all();
    }
}
