use std::sync::Arc;

use acacia_code::Code;
use thiserror::Error;

/// An error of any type, as services return it.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why services can't be started, or a handle not found.
#[derive(Debug, Error)]
pub enum Error {
    /// Two services have the same name.
    #[error("more than one service is named {0}")]
    Duplicate(Arc<str>),
    /// A dependency is not registered, or a service looked up a name that it does not declare as a
    /// dependency.
    #[error("no service named {needed} among the dependencies of service {service}")]
    Missing {
        /// The service that declares or looked up the dependency.
        service: Arc<str>,
        /// The name of the dependency.
        needed: Arc<str>,
    },
    /// Services depend on each other in a cycle.
    #[error("dependency cycle between services: {}", .0.join(", "))]
    Cycle(Vec<Arc<str>>),
    /// The handle of a dependency has another type than requested.
    #[error("service {needed} has another type than service {service} requested")]
    WrongType {
        /// The service that looked up the dependency.
        service: Arc<str>,
        /// The name of the dependency.
        needed: Arc<str>,
    },
    /// The start closure of a service failed. The services started before it have been stopped.
    #[error("service {service} failed to start: {source}")]
    StartFailed {
        /// The service that failed.
        service: Arc<str>,
        /// The error of its start closure.
        source: BoxError,
    },
}

impl Error {
    /// Returns the result code of the error.
    ///
    /// ```
    /// let error = acacia_kernel::Error::Duplicate("flow".into());
    /// assert_eq!(error.code().number(), 53);
    /// ```
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Error::Duplicate(_) => Code::ServiceDuplicate,
            Error::Missing { .. } => Code::ServiceMissing,
            Error::Cycle(_) => Code::ServiceCycle,
            Error::WrongType { .. } => Code::ServiceType,
            Error::StartFailed { .. } => Code::ServiceStartFailed,
        }
    }
}
