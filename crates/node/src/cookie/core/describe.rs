//! Log lines for changes of the catalog.

use std::{fmt, sync::Arc};

use acacia_catalog::{
    Change, Item,
    route::{Config, Patch},
    server::State,
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
            "event=server server={id} revision={revision} state={:?} service={} data_centre={} address={} warmup_ms={}",
            server.state, server.service, server.data_centre, server.address, server.warmup_ms
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

/// Counts of changed servers, for one log line.
#[derive(Debug, Clone, Copy, Default)]
pub struct Servers {
    ready: usize,
    draining: usize,
    removed: usize,
    /// Those whose entries can't be read.
    unreadable: usize,
    /// The highest revision.
    revision: u64,
}

impl Servers {
    /// The counts with one more change, if it is that of a server.
    pub fn with(self, change: &Change) -> Self {
        let mut counts = self;
        if let Change::Server {
            revision, server, ..
        } = change
        {
            counts.revision = counts.revision.max(*revision);
            match server.as_ref().map(|server| server.state) {
                Some(State::Ready) => counts.ready += 1,
                Some(State::Draining) => counts.draining += 1,
                Some(State::Unknown) => counts.unreadable += 1,
                None => counts.removed += 1,
            }
        }
        counts
    }

    /// Whether no server is counted.
    pub const fn is_empty(&self) -> bool {
        self.ready + self.draining + self.removed + self.unreadable == 0
    }
}

impl fmt::Display for Servers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Servers {
            ready,
            draining,
            removed,
            unreadable,
            revision,
        } = self;
        write!(
            f,
            "event=servers ready={ready} draining={draining} removed={removed} unreadable={unreadable} revision={revision}"
        )
    }
}
