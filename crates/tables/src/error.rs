use acacia_code::Code;
use thiserror::Error;

use crate::document::MAX_SIZE;

/// Why tables can't be read or built.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The stored value is not a document.
    #[error("the stored tables can't be decoded: {0}")]
    Undecodable(String),
    /// A later version of the program wrote the document. This version must not overwrite it, as
    /// it would drop the content that it can't read.
    #[error("the stored tables have format {format}, which this version doesn't support")]
    Later {
        /// The format number in the document.
        format: u32,
    },
    /// Parts of the document contradict each other.
    #[error("the stored tables are inconsistent: {0}")]
    Inconsistent(&'static str),
    /// The document exceeds the store's size limit. It is never truncated.
    #[error("the tables take {size} bytes; the store's limit is {MAX_SIZE}")]
    TooLarge {
        /// The document's size in bytes.
        size: usize,
    },
    /// The configuration to build the tables from can't be read.
    #[error("the configuration for the tables can't be read: {0}")]
    Config(#[from] acacia_config::document::Error),
    /// The configuration has no instance number for a service.
    #[error("service {service} has no instance number in the configuration")]
    InstanceMissing {
        /// The service's name.
        service: std::sync::Arc<str>,
    },
}

impl Error {
    /// The result code of the error.
    ///
    /// ```
    /// assert_eq!(acacia_tables::Error::Later { format: 9 }.code().number(), 45);
    /// ```
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Error::Undecodable(_) => Code::TablesUndecodable,
            Error::Later { .. } => Code::TablesLater,
            Error::Inconsistent(_) => Code::TablesInconsistent,
            Error::TooLarge { .. } => Code::TablesTooLarge,
            Error::Config(error) => error.code(),
            Error::InstanceMissing { .. } => Code::DocumentUndecodable,
        }
    }
}
