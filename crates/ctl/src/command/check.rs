//! `check`: lists the problems of a file.

use std::path::Path;

use serde_json::json;

use crate::Report;

pub(crate) fn run(file: &Path) -> Result<Report, Report> {
    let config = super::read(file)?;
    let (services, servers) = (config.services().len(), config.servers().len());
    let text = format!("ok services={services} servers={servers}");
    let data = json!({ "services": services, "servers": servers });
    Ok(Report::new(text, data))
}
