//! `drain` and `undrain`: set whether backend servers get new flows.

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
    set_state(settings, servers, State::Drain { deadline }, timeout).await
}

pub(crate) async fn undrain(
    settings: &Settings,
    servers: &[String],
    timeout: Option<Duration>,
) -> Result<Report, Report> {
    set_state(settings, servers, State::Active, timeout).await
}

/// Sets the state of servers in the configuration in force. The change is applied only on top of
/// that revision, because it would otherwise revert a change that another operator made in between.
async fn set_state(
    settings: &Settings,
    servers: &[String],
    state: State,
    timeout: Option<Duration>,
) -> Result<Report, Report> {
    let found = in_force::require(settings).await?;
    let mut config = found.config.clone();
    for name in servers {
        if !config.update_server(name, |server| server.state = state) {
            let reason = format!("there is no backend server named {name}");
            return Err(Report::failure(Code::ServerUnknown, reason));
        }
    }
    let over = Some(found.document.revision);
    apply::apply_over(settings, config, (over, Some(found)), timeout).await
}
