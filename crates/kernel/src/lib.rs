//! A registry in which the services of one process find each other by name.
//!
//! A [`Registry`] takes [`Service`]s: a name, the names it needs and a closure that starts it.
//! [`Registry::start`] runs the closures in the order of their needs and gives a [`Kernel`], which
//! holds every thread they spawned. [`Kernel::wait`] returns once a stop was asked for or a
//! service died, after it has stopped all services in reverse order and joined their threads.
//!
//! A process whose control thread has died while its traffic threads go on would serve from a
//! stale view for good and look healthy from outside. Hence a thread that returns or panics before
//! it was told to stop takes the whole process down, in order and with a numbered code.

mod context;
mod error;
mod registry;
mod run;

pub use context::Context;
pub use error::{BoxError, Error};
pub use registry::{Registry, Service};
pub use run::{Kernel, Outcome, Stopper, UnexpectedExit};
