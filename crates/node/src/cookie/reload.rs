//! Reloads the settings while the process runs.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use acacia_code::Code;
use acacia_kernel::BoxError;
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use super::{
    control::{Control, lock},
    settings::Settings,
};

/// Interval at which the settings file is checked for changes, which may come without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings from `path` when the file has changed, which is checked at regular intervals and
/// on `SIGHUP`. An unreadable or invalid file changes nothing.
///
/// # Errors
/// If the signal handler can't be installed.
pub async fn run(control: Arc<Control>, path: PathBuf) -> Result<(), BoxError> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut last_text = std::fs::read_to_string(&path).ok();
    loop {
        tokio::select! {
            _ = hangups.recv() => log::info!("event=hangup"),
            () = time::sleep(CHECK_INTERVAL) => {}
        }
        let text = read(&path);
        if text.is_none() || text == last_text {
            continue;
        }
        last_text = text;
        match Settings::parse(last_text.as_deref().unwrap_or_default()) {
            Ok(settings) => {
                control.core(|core, _| core.update_settings(&settings));
                *lock(&control.settings) = settings;
                log::info!("event=settings-reloaded");
            }
            Err(error) => {
                log::error!(
                    "event=settings-refused code={} error=\"{error}\"",
                    error.code
                );
            }
        }
    }
}

fn read(path: &Path) -> Option<String> {
    let code = Code::SettingsUnreadable;
    std::fs::read_to_string(path)
        .inspect_err(|error| log::warn!("event=settings-unreadable code={code} error=\"{error}\""))
        .ok()
}
