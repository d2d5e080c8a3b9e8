//! `drain` and `undrain`: whether backend servers get new flows.

use std::time::Duration;

use acacia_code::Code;
use acacia_config::State;

use super::apply;
use crate::{Report, Settings, in_force};

pub(crate) async fn run(
    settings: &Settings,
    servers: &[String],
    deadline: Option<u64>,
    timeout: Option<Duration>,
) -> Result<Report, Report> {
    let deadline = deadline.map(|seconds| settings.invocation.unix_time.saturating_add(seconds));
    set(settings, servers, State::Drain { deadline }, timeout).await
}

pub(crate) async fn undo(
    settings: &Settings,
    servers: &[String],
    timeout: Option<Duration>,
) -> Result<Report, Report> {
    set(settings, servers, State::Active, timeout).await
}

/// Changes the state of servers over what is in force, and over nothing else: a change made by
/// someone else in between would be undone otherwise.
async fn set(
    settings: &Settings,
    servers: &[String],
    state: State,
    timeout: Option<Duration>,
) -> Result<Report, Report> {
    let found = in_force::require(settings).await?;
    let mut config = found.config.clone();
    for name in servers {
        if !config.update_server(name, |server| server.state = state) {
            let reason = format!("no backend server is called {name}");
            return Err(Report::failure(Code::ServerUnknown, reason));
        }
    }
    let over = Some(found.document.revision);
    apply::over_found(settings, config, (over, Some(found)), timeout).await
}
