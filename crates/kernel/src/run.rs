use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender};
use std::thread::JoinHandle;

use acacia_code::Code;

use crate::context::Stop;

/// What the kernel waits for.
pub(crate) enum Signal {
    /// A thread has ended.
    Ended(UnexpectedExit),
    /// A stop was asked for.
    Stop,
}

/// A service that is running.
pub(crate) struct Started {
    pub(crate) name: Arc<str>,
    pub(crate) threads: Vec<JoinHandle<()>>,
    pub(crate) stop: Option<Stop>,
}

/// A service that ended unasked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnexpectedExit {
    /// Its name.
    pub service: Arc<str>,
    /// Its error or panic, in words.
    pub reason: String,
}

/// How the process ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The service that ended first without having been told to; none after a stop that was asked
    /// for.
    pub unexpected_exit: Option<UnexpectedExit>,
}

impl Outcome {
    /// The numbered code, for the exit status.
    ///
    /// ```
    /// let outcome = acacia_kernel::Outcome { unexpected_exit: None };
    /// assert_eq!(outcome.code().exit_status(), 0);
    /// ```
    #[must_use]
    pub fn code(&self) -> Code {
        match self.unexpected_exit {
            Some(_) => Code::ServiceDied,
            None => Code::Success,
        }
    }
}

/// Asks the kernel to stop, from any thread (a signal handler's, an operator's call).
#[derive(Clone)]
pub struct Stopper(Sender<Signal>);

impl Stopper {
    /// Asks for an orderly stop. Further calls change nothing.
    pub fn stop(&self) {
        // Nobody listens once the kernel has stopped, which is what was asked for.
        let _ = self.0.send(Signal::Stop);
    }
}

/// The running services of the process. Dropping it stops them too.
pub struct Kernel {
    signals: Sender<Signal>,
    received: Receiver<Signal>,
    services: Vec<Started>,
}

impl Kernel {
    pub(crate) fn new(signals: Sender<Signal>, received: Receiver<Signal>) -> Self {
        Kernel {
            signals,
            received,
            services: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, service: Started) {
        log::info!("event=service_start service={}", service.name);
        self.services.push(service);
    }

    /// A handle with which other threads ask for a stop.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        Stopper(self.signals.clone())
    }

    /// Blocks until a stop is asked for or a service dies, then stops every service in reverse
    /// order of starting and joins all threads.
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
    /// assert_eq!(outcome.unexpected_exit.unwrap().reason, "socket closed");
    /// ```
    #[must_use]
    pub fn wait(mut self) -> Outcome {
        let unexpected_exit = match self.received.recv() {
            Ok(Signal::Ended(exit)) => Some(exit),
            Ok(Signal::Stop) | Err(_) => None,
        };
        if let Some(UnexpectedExit { service, reason }) = &unexpected_exit {
            let code = Code::ServiceDied;
            log::error!("event=service_died code={code} service={service} reason={reason:?}");
        }
        self.stop_all();
        Outcome { unexpected_exit }
    }

    /// Stops in reverse order: a service may use those it needs until its own end.
    pub(crate) fn stop_all(&mut self) {
        while let Some(service) = self.services.pop() {
            if let Some(stop) = service.stop {
                stop();
            }
            for thread in service.threads {
                // The threads catch their panics, so a join can't fail.
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
