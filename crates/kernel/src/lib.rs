//! A registry in which the services of one process find each other by name.
//!
//! Each [`Service`] in a [`Registry`] has a name, the names of its dependencies and a closure that
//! starts it. [`Registry::start`] runs the closures in dependency order and returns a [`Kernel`],
//! which owns all threads that they spawned. [`Kernel::wait`] blocks until a stop is requested or a
//! service exits unexpectedly, then stops all services in reverse order and joins their threads.
//!
//! If a control thread exited while the traffic threads kept running, the process would serve from
//! a stale view indefinitely and still look healthy from outside. A thread that returns or panics
//! before its service is stopped therefore shuts down the whole process, in order and with a result
//! code.

mod context;
mod error;
mod registry;
mod run;

pub use context::Context;
pub use error::{BoxError, Error};
pub use registry::{Registry, Service};
pub use run::{Exit, Kernel, Outcome, Stopper};
