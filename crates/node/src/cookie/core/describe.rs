//! Lines for the log.

use acacia_catalog::Change;

/// A change as key=value pairs.
pub fn change(change: &Change) -> String {
    match change {
        Change::Config { revision, config } => {
            let (version, routes) = (config.version, config.routes.len());
            format!("event=config revision={revision} version={version} routes={routes}")
        }
        Change::Patch { revision, patch } => {
            let (version, put, removed) = (patch.version, patch.put.len(), patch.remove.len());
            format!(
                "event=config revision={revision} version={version} put={put} removed={removed}"
            )
        }
        Change::Server {
            id,
            revision,
            server: Some(server),
        } => format!(
            "event=server server={id} revision={revision} state={:?} service={} address={} warmup_ms={}",
            server.state, server.service, server.address, server.warmup_ms
        ),
        Change::Server {
            id,
            revision,
            server: None,
        } => format!("event=server server={id} revision={revision} state=Removed"),
    }
}
