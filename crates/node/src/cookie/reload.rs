//! Settings that change while the process runs.

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

/// Between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Rereads the settings when they change, with a signal or without. A file with a problem changes
/// nothing.
///
/// # Errors
/// When a socket or a signal fails.
pub async fn run(control: Arc<Control>, path: PathBuf) -> Result<(), BoxError> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut before = std::fs::read_to_string(&path).ok();
    loop {
        tokio::select! {
            _ = hangups.recv() => log::info!("event=hangup"),
            () = time::sleep(LOOK) => {}
        }
        let text = read(&path);
        if text.is_none() || text == before {
            continue;
        }
        before = text;
        match Settings::parse(before.as_deref().unwrap_or_default()) {
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
