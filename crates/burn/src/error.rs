use thiserror::Error;

/// Why a report could not be shown.
#[derive(Debug, Error)]
pub enum Error {
    /// A plot could not be drawn.
    #[error("can't draw the plot of {service}: {reason}")]
    Plot {
        /// Of which service.
        service: String,
        /// Why not.
        reason: String,
    },
    /// The report could not be encoded.
    #[error("can't encode the report: {0}")]
    Json(#[from] serde_json::Error),
}
