//! Threads with a runtime of their own.

use crate::fault::Fault;

/// A thread with a runtime of its own, by whose name its processor time is found.
pub struct Worker {
    pub handle: tokio::runtime::Handle,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Worker {
    /// Starts one; it ends when this is dropped.
    pub fn start(name: &str) -> Result<Worker, Fault> {
        let broken = |e: std::io::Error| Fault::broken("a thread can't be started", e);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .thread_name(format!("{name}-pool"))
            .enable_all()
            .build()
            .map_err(broken)?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        });
        Ok(Worker { handle, stop: Some(stop), thread: Some(thread.map_err(broken)?) })
    }

    /// Runs a task on it, and waits for its end.
    pub async fn run<T: Send + 'static>(
        &self,
        task: impl std::future::Future<Output = Result<T, Fault>> + Send + 'static,
    ) -> Result<T, Fault> {
        self.handle.spawn(task).await.map_err(|e| Fault::broken("a part of the run", e))?
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
