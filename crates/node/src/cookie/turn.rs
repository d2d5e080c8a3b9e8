//! The right to do what only one task may do at a time.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// The right, which dropping it gives back. A task that panics or is dropped gives it back too;
/// otherwise nobody could ever take it again.
#[derive(Debug)]
pub struct Turn(Arc<AtomicBool>);

impl Turn {
    /// Takes the right that `taken` guards; none while another has it.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use acacia_node::cookie::turn::Turn;
    /// let taken = Arc::default();
    /// let turn = Turn::take(&taken);
    /// assert!(turn.is_some() && Turn::take(&taken).is_none());
    /// drop(turn);
    /// assert!(Turn::take(&taken).is_some());
    /// ```
    #[must_use]
    pub fn take(taken: &Arc<AtomicBool>) -> Option<Turn> {
        let was_taken = taken.swap(true, Ordering::Relaxed);
        (!was_taken).then(|| Turn(Arc::clone(taken)))
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}
