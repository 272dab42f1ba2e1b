//! Threads with their own Tokio runtime. Processor time is reported per thread name.

use std::future::Future;
use std::io;
use std::thread::JoinHandle;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

use crate::error::ScaleTestError;

/// A named thread that runs its own single-threaded Tokio runtime.
pub(crate) struct RuntimeThread {
    handle: Handle,
    /// Stops the runtime when dropped; `None` only while the thread is being dropped.
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RuntimeThread {
    /// Starts a thread with this name. The thread and all its tasks end when the returned value is dropped.
    pub(crate) fn start(name: &str) -> Result<RuntimeThread, ScaleTestError> {
        let start_error = |e: io::Error| ScaleTestError::aborted("starting a thread", e);
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

    /// Returns the handle of the runtime, for spawning tasks.
    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs a task on the thread and returns its result.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        task: impl Future<Output = Result<T, ScaleTestError>> + Send + 'static,
    ) -> Result<T, ScaleTestError> {
        self.handle
            .spawn(task)
            .await
            .map_err(|e| ScaleTestError::aborted("running a task on a dedicated thread", e))?
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
