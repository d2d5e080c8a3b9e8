use acacia_code::Code;
use thiserror::Error;

use crate::document::MAX_SIZE;

/// Why tables can't be read or made.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The store's value is no document.
    #[error("the stored tables can't be decoded: {0}")]
    Undecodable(String),
    /// A later version of the program wrote the document. It must not be written over: what this
    /// version can't read, it would lose.
    #[error("the stored tables have format {format}, which this version doesn't know")]
    Later {
        /// The format found.
        format: u32,
    },
    /// The document contradicts itself.
    #[error("the stored tables are inconsistent: {0}")]
    Inconsistent(&'static str),
    /// The document would not fit into the store. It is never cut.
    #[error("the tables have {size} bytes, the store holds {MAX_SIZE}")]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// The configuration that the tables should follow can't be read.
    #[error("the tables can't follow the configuration: {0}")]
    Config(#[from] acacia_config::document::Error),
    /// The configuration names a service without its instance number.
    #[error("the configuration's service {service} has no instance number")]
    InstanceMissing {
        /// The service.
        service: std::sync::Arc<str>,
    },
}

impl Error {
    /// The error's row in the table of result codes.
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
