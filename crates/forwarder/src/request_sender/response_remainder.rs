//! Reads the rest of responses whose results are known, so that their connections can be reused.

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use reeddock::EndpointId;
use reeddock_protocol::MAX_BODY_BYTES;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::body_reader::read_body;
use crate::connections::{lock, Connection, ConnectionPool};

/// How long the rest of a response is read before a known result is returned. A connection whose response
/// ends within this time is in the pool before its result is reported.
pub(super) const REMAINDER_WAIT_BEFORE_RESULT: Duration = Duration::from_millis(20);
/// How long the rest of a response is read in the background before the connection is closed.
const REMAINDER_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of bytes read from a response body, in case the body has no end.
pub(super) const MAX_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES;

/// The rest of a response whose result is known.
pub(super) struct ResponseRemainder {
    pub(super) endpoint: EndpointId,
    pub(super) connection: Connection,
    pub(super) body: Incoming,
}

impl ResponseRemainder {
    /// Reads and discards the rest of the response, and returns its connection to the pool.
    async fn read(mut self, connections: ConnectionPool) {
        let complete = read_body(self.body, MAX_RESPONSE_BYTES, |_| {}).await.is_ok();
        if complete && self.connection.ready().await {
            connections.release(self.endpoint, self.connection);
        }
    }
}

/// The tasks that read the rest of responses whose results are known. No task holds a clone of this value, so
/// that dropping the last clone aborts the tasks.
#[derive(Clone, Default)]
pub(super) struct ResponseRemainders(Arc<Mutex<JoinSet<()>>>);

impl ResponseRemainders {
    /// Reads the rest of a response, so that its connection can be reused. After a short wait the rest is read in
    /// the background.
    pub(super) async fn read(&self, connections: &ConnectionPool, remainder: ResponseRemainder) {
        let mut reading = Box::pin(remainder.read(connections.clone()));
        if timeout(REMAINDER_WAIT_BEFORE_RESULT, &mut reading).await.is_err() {
            self.spawn(reading);
        }
    }

    /// Starts a task that reads the rest of a response within `REMAINDER_READ_TIMEOUT`.
    fn spawn(&self, remainder: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.0);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async {
            let _ = timeout(REMAINDER_READ_TIMEOUT, remainder).await;
        });
    }
}
