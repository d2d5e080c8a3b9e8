//! Ending on a signal.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use signal_hook::consts::{SIGINT, SIGTERM};

/// Raised once the process was asked to end. Loops look at it at least every [`POLL`].
#[derive(Debug, Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

/// The longest that a loop waits for input before it looks at its [`Flag`].
pub const POLL: std::time::Duration = std::time::Duration::from_millis(50);

impl Flag {
    /// A flag that SIGINT and SIGTERM raise.
    pub fn on_signals() -> std::io::Result<Self> {
        let flag = Flag::default();
        signal_hook::flag::register(SIGTERM, flag.0.clone())?;
        signal_hook::flag::register(SIGINT, flag.0.clone())?;
        Ok(flag)
    }

    /// Whether the process should end.
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

    /// Asks for the end from inside the process.
    pub fn raise(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
