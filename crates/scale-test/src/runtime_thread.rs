//! Threads with a runtime of their own, whose processor time is found by the thread's name.

use std::future::Future;
use std::io;
use std::thread::JoinHandle;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

use crate::error::ScaleTestError;

/// A thread with a runtime of its own.
pub(crate) struct RuntimeThread {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RuntimeThread {
    /// Starts one under this name; it ends, with all its tasks, when this is dropped.
    pub(crate) fn start(name: &str) -> Result<RuntimeThread, ScaleTestError> {
        let start_error = |e: io::Error| ScaleTestError::aborted("a thread can't be started", e);
        let runtime = Builder::new_current_thread()
            .thread_name(format!("{name}-pool"))
            .enable_all()
            .build()
            .map_err(start_error)?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        });
        Ok(RuntimeThread { handle, stop: Some(stop), thread: Some(thread.map_err(start_error)?) })
    }

    /// The runtime, to spawn tasks on.
    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs a task on the thread and waits for its end.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        task: impl Future<Output = Result<T, ScaleTestError>> + Send + 'static,
    ) -> Result<T, ScaleTestError> {
        self.handle.spawn(task).await.map_err(|e| ScaleTestError::aborted("a part of the run", e))?
    }
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
