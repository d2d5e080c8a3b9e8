//! A permit that admits one task at a time.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// A permit that is released when it is dropped. A task that panics or is cancelled releases it
/// too; otherwise no other task could ever acquire it again.
#[derive(Debug)]
pub struct Permit(Arc<AtomicBool>);

impl Permit {
    /// Acquires the permit guarded by `held`; returns `None` while another task holds it.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use acacia_node::cookie::permit::Permit;
    /// let held = Arc::default();
    /// let permit = Permit::try_acquire(&held);
    /// assert!(permit.is_some() && Permit::try_acquire(&held).is_none());
    /// drop(permit);
    /// assert!(Permit::try_acquire(&held).is_some());
    /// ```
    #[must_use]
    pub fn try_acquire(held: &Arc<AtomicBool>) -> Option<Permit> {
        let was_held = held.swap(true, Ordering::Relaxed);
        (!was_held).then(|| Permit(Arc::clone(held)))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}
