//! Log lines for changes of the catalog.

use std::sync::Arc;

use acacia_catalog::{
    Change, Item,
    route::{Config, Patch},
};

/// Formats a change as key=value pairs. A configuration is always described by its difference from
/// `before`, whether it arrived as a patch or in full, because operators search the log for the
/// version that removed a route.
pub fn change(change: &Change, before: Option<&Item<Arc<Config>>>) -> String {
    match change {
        Change::Config { revision, config } => {
            let empty = Config::default();
            let old = before.map_or(&empty, |item| &item.value);
            config_line(*revision, &Patch::between(old, 0, config))
        }
        Change::Patch { revision, patch } => config_line(*revision, patch),
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
        Change::Evacuation {
            data_centre,
            revision,
            stands,
        } => format!(
            "event=evacuation data_centre={data_centre} revision={revision} stands={stands}"
        ),
    }
}

fn config_line(revision: u64, patch: &Patch) -> String {
    let (version, put, removed) = (patch.version, patch.put.len(), patch.remove.len());
    format!("event=config revision={revision} version={version} put={put} removed={removed}")
}
