use std::sync::Arc;

use acacia_code::Code;
use thiserror::Error;

/// Any error of a service.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why the services of a process could not be started, or one not found.
#[derive(Debug, Error)]
pub enum Error {
    /// Two services have one name.
    #[error("two services are named {0}")]
    Duplicate(Arc<str>),
    /// A service needs a name that nobody registered, or looked for one it did not say it needs.
    #[error("service {service} finds no service named {needed} among its needs")]
    Missing {
        /// Who looked.
        service: Arc<str>,
        /// What it looked for.
        needed: Arc<str>,
    },
    /// Services that need each other in a circle.
    #[error("services need each other in a circle: {}", .0.join(", "))]
    Cycle(Vec<Arc<str>>),
    /// The handle found has another type than the one asked for.
    #[error("service {needed} has another type than {service} asked for")]
    WrongType {
        /// Who looked.
        service: Arc<str>,
        /// What it looked for.
        needed: Arc<str>,
    },
    /// A service's start closure failed; those started before it were stopped again.
    #[error("service {service} failed to start: {source}")]
    StartFailed {
        /// Who failed.
        service: Arc<str>,
        /// Its error.
        source: BoxError,
    },
}

impl Error {
    /// The numbered code.
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
