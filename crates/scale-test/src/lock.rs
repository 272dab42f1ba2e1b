//! Mutexes whose content stays usable after a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, poisoned or not: each holder leaves the content consistent at every step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
