//! Decodes the body of a watch, and sends its list events to the event loop in chunks as they arrive.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::mem;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use reeddock_protocol::{ListDecoder, ListEvent, ListLimits};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::connections::Connection;
use crate::events::Event;
use crate::malformed_list::MalformedList;
use crate::watch_schedule::{Received, WatchFailure, WatchLoss};

/// The maximum number of list events that the event loop applies in one step, which limits the length of a
/// step.
pub const MAX_LIST_EVENTS_PER_CHUNK: usize = 256;
/// The size on the wire at which a chunk is sent although it has fewer events, in bytes.
const MAX_LIST_BYTES_PER_CHUNK: u64 = 128 * 1024;
/// The maximum number of chunks that are queued for the event loop. When the queue is full, the reader waits
/// and so applies backpressure to discovery.
pub const MAX_QUEUED_LIST_CHUNKS: usize = 2;

/// The progress of receiving the list, over all watches.
pub(crate) struct WatchProgress {
    /// The generation of the last part of the list that was sent to the event loop completely.
    pub generation: u64,
    /// The data that the current watch has received.
    pub received: Received,
}

/// The reasons to stop reading the response body of a watch.
enum ReadError {
    EventLoopEnded,
    /// The received bytes are not a valid list.
    Malformed(MalformedList),
}

/// Reads the response body of one watch, and sends the decoded list events to the event loop.
pub(crate) struct ListReader<'w> {
    decoder: ListDecoder,
    /// The generation of the list part that is being read.
    part_generation: Option<u64>,
    /// Decoded events that were not sent to the event loop yet.
    chunk: Vec<ListEvent>,
    /// The number of bytes that were consumed when the current chunk was begun.
    chunk_start: u64,
    progress: &'w mut WatchProgress,
    event_loop: &'w mpsc::Sender<Event>,
}

impl<'w> ListReader<'w> {
    /// Returns a reader at the start of a watch. The reader updates `progress`.
    pub(crate) fn new(
        progress: &'w mut WatchProgress,
        event_loop: &'w mpsc::Sender<Event>,
        limits: ListLimits,
    ) -> Self {
        ListReader {
            decoder: ListDecoder::new(limits),
            part_generation: None,
            chunk: Vec::new(),
            chunk_start: 0,
            progress,
            event_loop,
        }
    }

    /// Reads until the watch ends, or until no byte was received for `idle_timeout`. Returns why the watch
    /// was lost.
    ///
    /// After a malformed list the connection is closed, and the method returns after the backoff.
    pub(crate) async fn read(
        mut self,
        connection: Connection,
        mut body: Incoming,
        idle_timeout: Duration,
    ) -> WatchLoss {
        loop {
            let frame = match timeout(idle_timeout, body.frame()).await {
                Err(_) => return WatchLoss::IdleTimeout,
                Ok(None) => return WatchFailure::ResponseEnded.into(),
                Ok(Some(Err(error))) => return WatchFailure::ReadBody(error.to_string()).into(),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            match self.decode(&bytes).await {
                Ok(()) => {}
                Err(ReadError::EventLoopEnded) => return WatchFailure::EventLoopEnded.into(),
                Err(ReadError::Malformed(list)) => {
                    drop((connection, body));
                    return back_off_after_malformed(list, self.event_loop).await;
                }
            }
        }
    }

    /// Decodes received bytes, and sends their events to the event loop.
    async fn decode(&mut self, mut bytes: &[u8]) -> Result<(), ReadError> {
        loop {
            let event = match self.decoder.next_event(&mut bytes) {
                Ok(Some(event)) => event,
                Ok(None) => return self.send_chunk().await,
                Err(fault) => {
                    let (fault, bytes) = (fault.to_string(), self.decoder.consumed_bytes());
                    return Err(ReadError::Malformed(MalformedList { fault, bytes }));
                }
            };
            // The first heartbeat of a watch confirms the list. Later ones tell the event loop nothing new.
            let is_first_line = self.progress.received == Received::Nothing;
            if matches!(event, ListEvent::PartEnded | ListEvent::Heartbeat) {
                self.progress.received = Received::Lines;
            }
            if event != ListEvent::Heartbeat || is_first_line {
                self.chunk.push(event);
            }
            let chunk_bytes = self.decoder.consumed_bytes() - self.chunk_start;
            if self.chunk.len() >= MAX_LIST_EVENTS_PER_CHUNK || chunk_bytes >= MAX_LIST_BYTES_PER_CHUNK {
                self.send_chunk().await?;
            }
        }
    }

    /// Sends the current chunk to the event loop, unless the chunk is empty.
    async fn send_chunk(&mut self) -> Result<(), ReadError> {
        self.chunk_start = self.decoder.consumed_bytes();
        if self.chunk.is_empty() {
            return Ok(());
        }
        let completed = self.track_generations();
        let chunk = mem::take(&mut self.chunk);
        if self.event_loop.send(Event::ListEvents(chunk)).await.is_err() {
            return Err(ReadError::EventLoopEnded);
        }
        // The generation advances only after the event loop has the chunk. If the watch is lost earlier, the
        // next watch requests this part again.
        self.progress.generation = completed.unwrap_or(self.progress.generation);
        Ok(())
    }

    /// Updates `part_generation` from the events of the current chunk. Returns the generation of the last
    /// part that the chunk completes.
    fn track_generations(&mut self) -> Option<u64> {
        let mut completed = None;
        for event in &self.chunk {
            match event {
                ListEvent::PartStarted { generation, .. } => self.part_generation = Some(*generation),
                ListEvent::PartEnded => completed = self.part_generation,
                _ => {}
            }
        }
        completed
    }
}

/// Reports a malformed list to the event loop, and waits for the backoff that the size of the list requires.
async fn back_off_after_malformed(list: MalformedList, event_loop: &mpsc::Sender<Event>) -> WatchLoss {
    let loss = WatchLoss::from(WatchFailure::MalformedList(list.fault.clone()));
    // Spreads the requests of forwarders. The randomness is independent of the policy's seed.
    let jitter = RandomState::new().hash_one(list.bytes) as f64 / u64::MAX as f64;
    let backoff = list.backoff(jitter);
    let _ = event_loop.send(Event::ListMalformed(list)).await;
    sleep(backoff).await;
    loss
}
