//! `print`: prints a file or the configuration in force in canonical form.

use std::path::Path;

use acacia_config::print;
use serde_json::json;

use crate::{Report, Settings, in_force};

pub(crate) async fn run(settings: &Settings, file: Option<&Path>) -> Result<Report, Report> {
    if let Some(file) = file {
        let text = print(&super::read(file)?);
        let data = json!({ "text": text });
        return Ok(Report::new(text, data));
    }
    let found = in_force::require(settings).await?;
    let text = print(&found.config);
    let revision = found.document.revision;
    let data = json!({ "revision": revision, "source": found.source, "text": text });
    Ok(Report::new(text, data))
}
