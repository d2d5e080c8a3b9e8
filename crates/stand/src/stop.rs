//! Graceful shutdown on a signal.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use signal_hook::consts::{SIGINT, SIGTERM};

/// A shutdown flag, raised once the process was asked to end. Every main loop checks it at least
/// once per [`POLL`].
#[derive(Debug, Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

/// Maximum time that a loop waits for input before it checks its [`Flag`].
pub const POLL: std::time::Duration = std::time::Duration::from_millis(50);

impl Flag {
    /// Returns a flag that is raised by SIGINT and SIGTERM.
    pub fn on_signals() -> std::io::Result<Self> {
        let flag = Flag::default();
        signal_hook::flag::register(SIGTERM, flag.0.clone())?;
        signal_hook::flag::register(SIGINT, flag.0.clone())?;
        Ok(flag)
    }

    /// Returns whether the process should end.
    ///
    /// ```
    /// let flag = acacia_stand::stop::Flag::default();
    /// flag.raise();
    /// assert!(flag.is_raised());
    /// ```
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Requests the shutdown from inside the process.
    pub fn raise(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
