//! The body of a watch response: full endpoint lists, changes, and empty lines as keep-alive.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{watch, AcquireError, OwnedSemaphorePermit};
use tokio::time::timeout;

use super::{Body, ConnectionContext};
use crate::endpoint_list::{change_line, Change, FullList};

/// Time without other bytes to send after which an empty line is sent as a keep-alive.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of changes in one line of a watch.
const MAX_CHANGES_PER_LINE: usize = 256;

/// Returns the body of a watch that sends all changes after `generation`; 0 requests a full list first.
pub(super) fn watch_body(context: ConnectionContext, generation: u64) -> Body {
    let generations = context.control_plane.list.subscribe();
    let watch = Watch {
        context,
        generations,
        sent_generation: generation,
        chunks: VecDeque::new(),
        full_list: None,
        permit_request: None,
    };
    let lines = stream::unfold(watch, |mut watch| async move {
        let bytes = watch.next_bytes().await;
        Some((Ok(Frame::data(bytes)), watch))
    });
    StreamBody::new(lines).boxed_unsync()
}

/// One watch and its progress.
struct Watch {
    context: ConnectionContext,
    generations: watch::Receiver<u64>,
    /// The generation up to which all changes were sent; 0 if the client needs a full list.
    sent_generation: u64,
    /// The chunks of the current full list that are not yet sent.
    chunks: VecDeque<Bytes>,
    /// The full list that is being sent; `None` between full lists.
    full_list: Option<FullListTransfer>,
    /// The pending request for a permit to send a full list. The request is kept across keep-alives so that
    /// the watch keeps its position in the queue. `None` if no full list is requested.
    permit_request: Option<PermitRequest>,
}

/// A full list that is being sent to one watch.
struct FullListTransfer {
    list: Arc<FullList>,
    /// Released after the last chunk is sent.
    _permit: OwnedSemaphorePermit,
}

type PermitRequest = Pin<Box<dyn Future<Output = Result<OwnedSemaphorePermit, AcquireError>> + Send>>;

impl Watch {
    /// Waits for the next bytes to send and returns them.
    async fn next_bytes(&mut self) -> Bytes {
        loop {
            self.context.wait_while_partitioned().await;
            if let Some(chunk) = self.chunks.pop_front() {
                return chunk;
            }
            if let Some(completed) = self.full_list.take() {
                self.sent_generation = completed.list.generation;
            }
            self.generations.borrow_and_update();
            let Some(changes) = self.unsent_changes() else {
                if self.start_full_list().await {
                    continue;
                }
                return self.empty_line();
            };
            if let Some(last) = changes.last() {
                self.sent_generation = last.generation;
                self.context.traffic.count_message();
                if let Some(line) = self.change_line_without_lost(&changes) {
                    return line;
                }
                continue;
            }
            if !matches!(timeout(EMPTY_LINE_INTERVAL, self.generations.changed()).await, Ok(Ok(()))) {
                return self.empty_line();
            }
        }
    }

    /// Returns the changes that the client has not been sent, or `None` if the client needs a full list.
    fn unsent_changes(&self) -> Option<Vec<Change>> {
        // A client at generation 0 has no list.
        if self.sent_generation == 0 {
            return None;
        }
        self.context.control_plane.list.changes_after(self.sent_generation, MAX_CHANGES_PER_LINE)
    }

    fn empty_line(&self) -> Bytes {
        self.context.traffic.count_message();
        Bytes::from_static(b"\n")
    }

    /// Returns the line with these changes, without the lost change of a seeded defect. Returns `None` if the
    /// lost change is the only one.
    fn change_line_without_lost(&self, changes: &[Change]) -> Option<Bytes> {
        let is_lost =
            |change: &Change| self.context.control_plane.is_lost(self.context.listener, change.generation);
        if let [change] = changes {
            return (!is_lost(change)).then(|| change.line.clone());
        }
        let sent = changes.iter().filter(|change| !is_lost(change));
        let entries: Vec<&[u8]> = sent.map(|change| change.entry.as_ref()).collect();
        Some(Bytes::from(change_line(self.sent_generation, &entries)))
    }

    /// Begins to send a full list. Returns false if no permit was available within [`EMPTY_LINE_INTERVAL`].
    async fn start_full_list(&mut self) -> bool {
        let permits = self.context.control_plane.full_list_permits.clone();
        let request = self.permit_request.get_or_insert_with(|| Box::pin(permits.acquire_owned()));
        let Ok(Ok(permit)) = timeout(EMPTY_LINE_INTERVAL, request).await else {
            return false;
        };
        self.permit_request = None;
        let list = self.context.control_plane.list.full_list().await;
        self.context.control_plane.full_list_bytes.store(list.size() as u64, Ordering::Relaxed);
        self.chunks = list.chunks.iter().cloned().collect();
        self.full_list = Some(FullListTransfer { list, _permit: permit });
        self.context.traffic.count_message();
        true
    }
}
