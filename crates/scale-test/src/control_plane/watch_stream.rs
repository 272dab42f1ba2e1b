//! Watches of the endpoint list: the lines that one forwarder is sent.

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

/// An empty line is sent so often while nothing changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Changes in one line at most.
const MAX_CHANGES_PER_LINE: usize = 256;

/// The body of a watch that begins after a generation; 0 requests a full list first.
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

/// One watch, and how far it has come.
struct Watch {
    context: ConnectionContext,
    generations: watch::Receiver<u64>,
    /// The generation up to which all changes were sent.
    sent_generation: u64,
    /// What is left of the full list that is being sent.
    chunks: VecDeque<Bytes>,
    full_list: Option<FullListTransfer>,
    /// The place in the queue for a permit, which survives the empty lines that are sent meanwhile.
    permit_request: Option<PermitRequest>,
}

/// A full list that is being sent.
struct FullListTransfer {
    list: Arc<FullList>,
    /// Released when the last chunk has been sent.
    _permit: OwnedSemaphorePermit,
}

type PermitRequest = Pin<Box<dyn Future<Output = Result<OwnedSemaphorePermit, AcquireError>> + Send>>;

impl Watch {
    /// The bytes that are sent next, as soon as there are any.
    async fn next_bytes(&mut self) -> Bytes {
        loop {
            self.context.wait_while_partitioned().await;
            if let Some(chunk) = self.chunks.pop_front() {
                return chunk;
            }
            if let Some(transfer) = self.full_list.take() {
                self.sent_generation = transfer.list.generation;
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
                if let Some(line) = self.line_with(&changes) {
                    return line;
                }
                continue;
            }
            if !matches!(timeout(EMPTY_LINE_INTERVAL, self.generations.changed()).await, Ok(Ok(()))) {
                return self.empty_line();
            }
        }
    }

    /// The changes that are due; none where the client needs a full list.
    fn unsent_changes(&self) -> Option<Vec<Change>> {
        // Generation 0 means no list.
        if self.sent_generation == 0 {
            return None;
        }
        self.context.control_plane.list.changes_after(self.sent_generation, MAX_CHANGES_PER_LINE)
    }

    fn empty_line(&self) -> Bytes {
        self.context.traffic.count_message();
        Bytes::from_static(b"\n")
    }

    /// The line with these changes. With a seeded defect, a lost change is left out, and a lost one alone has no
    /// line.
    fn line_with(&self, changes: &[Change]) -> Option<Bytes> {
        let is_lost =
            |change: &Change| self.context.control_plane.is_lost(self.context.listener, change.generation);
        if let [change] = changes {
            return (!is_lost(change)).then(|| change.line.clone());
        }
        let sent = changes.iter().filter(|change| !is_lost(change));
        let entries: Vec<&[u8]> = sent.map(|change| change.entry.as_ref()).collect();
        Some(Bytes::from(change_line(self.sent_generation, &entries)))
    }

    /// Starts to send a full list; false while too many other watches are being sent theirs.
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
