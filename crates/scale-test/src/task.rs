//! Tasks that are aborted when their owner is dropped.

use std::future::Future;

use tokio::runtime::Handle;
use tokio::task::AbortHandle;

/// A handle of a spawned task that aborts the task on drop.
#[must_use = "dropping the handle aborts the task"]
pub(crate) struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    /// Spawns a task on the current runtime.
    pub(crate) fn spawn<F>(task: F) -> AbortOnDrop
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        AbortOnDrop::spawn_on(&Handle::current(), task)
    }

    /// Spawns a task on a given runtime.
    pub(crate) fn spawn_on<F>(runtime: &Handle, task: F) -> AbortOnDrop
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        AbortOnDrop(runtime.spawn(task).abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
