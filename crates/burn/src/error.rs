use thiserror::Error;

/// Why a report can't be rendered.
#[derive(Debug, Error)]
pub enum Error {
    /// A plot can't be drawn.
    #[error("can't draw the plot of {service}: {reason}")]
    Plot {
        /// The service of the plot.
        service: String,
        /// The error of the plotting library.
        reason: String,
    },
    /// The report can't be encoded as JSON.
    #[error("can't encode the report: {0}")]
    Json(#[from] serde_json::Error),
}
