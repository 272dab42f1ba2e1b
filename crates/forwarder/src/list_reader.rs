//! Reads the body of a watch, and passes the list events in it to the event loop in pieces, as they arrive.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::mem;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use reeddock_protocol::{ListDecoder, ListEvent};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::connections::Connection;
use crate::events::Event;
use crate::malformed_list::MalformedList;
use crate::watch_schedule::{BreakCause, Loss, Received};

/// The most list events that the event loop applies in one step; each takes a few microseconds.
pub const MAX_LIST_EVENTS_PER_PIECE: usize = 256;
/// The most pieces that are queued for the event loop. Beyond that the reader waits, and so does discovery.
pub const QUEUED_LIST_PIECES: usize = 2;

/// How much of the list was received, over all watches.
pub(crate) struct WatchProgress {
    /// The generation of the last part of the list that the event loop has completely.
    pub generation: u64,
    /// What the present watch has received.
    pub received: Received,
}

/// Why a watch is not read any further.
enum ReadError {
    /// The event loop has ended.
    EventLoopEnded,
    /// The received bytes are no valid list.
    Malformed(MalformedList),
}

/// Reads one watch.
pub(crate) struct ListReader<'w> {
    decoder: ListDecoder,
    /// The generation of the part that is being read.
    part_generation: Option<u64>,
    /// Events that are decoded and not yet passed to the event loop.
    piece: Vec<ListEvent>,
    progress: &'w mut WatchProgress,
    event_loop: &'w mpsc::Sender<Event>,
}

impl<'w> ListReader<'w> {
    /// A reader at the start of a watch, which keeps `progress` up to date.
    pub(crate) fn new(progress: &'w mut WatchProgress, event_loop: &'w mpsc::Sender<Event>) -> Self {
        ListReader {
            decoder: ListDecoder::default(),
            part_generation: None,
            piece: Vec::new(),
            progress,
            event_loop,
        }
    }

    /// Reads until the watch ends, and returns why it ended. A watch without any byte for `idle_timeout` has ended.
    ///
    /// After a malformed list the connection is closed, and this returns only after a backoff.
    pub(crate) async fn read(
        mut self,
        connection: Connection,
        mut body: Incoming,
        idle_timeout: Duration,
    ) -> Loss {
        loop {
            let frame = match timeout(idle_timeout, body.frame()).await {
                Err(_) => return Loss::Silent,
                Ok(None) => return BreakCause::Closed.into(),
                Ok(Some(Err(error))) => return BreakCause::Body(error.to_string()).into(),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            match self.decode(&bytes).await {
                Ok(()) => {}
                Err(ReadError::EventLoopEnded) => return BreakCause::EventLoopEnded.into(),
                Err(ReadError::Malformed(list)) => {
                    drop((connection, body));
                    return back_off_after_malformed(list, self.event_loop).await;
                }
            }
        }
    }

    /// Decodes these bytes, and passes their events to the event loop.
    async fn decode(&mut self, mut bytes: &[u8]) -> Result<(), ReadError> {
        loop {
            let event = match self.decoder.next_event(&mut bytes) {
                Ok(Some(event)) => event,
                Ok(None) => return self.pass_on().await,
                Err(fault) => {
                    let (fault, bytes) = (fault.to_string(), self.decoder.consumed_bytes());
                    return Err(ReadError::Malformed(MalformedList { fault, bytes }));
                }
            };
            if matches!(event, ListEvent::PartEnded | ListEvent::Heartbeat) {
                self.progress.received = Received::Lines;
            }
            if event != ListEvent::Heartbeat {
                self.piece.push(event);
            }
            if self.piece.len() >= MAX_LIST_EVENTS_PER_PIECE {
                self.pass_on().await?;
            }
        }
    }

    /// Passes the present piece to the event loop, if there is any.
    async fn pass_on(&mut self) -> Result<(), ReadError> {
        if self.piece.is_empty() {
            return Ok(());
        }
        let completed = self.follow_generations();
        let piece = mem::take(&mut self.piece);
        if self.event_loop.send(Event::ListEvents(piece)).await.is_err() {
            return Err(ReadError::EventLoopEnded);
        }
        // Only after the event loop has the piece: if the watch is abandoned before, the next one requests this part
        // again.
        self.progress.generation = completed.unwrap_or(self.progress.generation);
        Ok(())
    }

    /// Updates the generation of the part that is being read; returns the generation of the last part that the present
    /// piece completes.
    fn follow_generations(&mut self) -> Option<u64> {
        let mut completed = None;
        for event in &self.piece {
            match event {
                ListEvent::PartStarted { generation, .. } => self.part_generation = Some(*generation),
                ListEvent::PartEnded => completed = self.part_generation,
                _ => {}
            }
        }
        completed
    }
}

/// Reports a malformed list to the event loop, and waits for the backoff that its size requires.
async fn back_off_after_malformed(list: MalformedList, event_loop: &mpsc::Sender<Event>) -> Loss {
    let loss = Loss::from(BreakCause::MalformedList(list.fault.clone()));
    // This randomness only spreads forwarders; it does not come from the policy's seed.
    let jitter = RandomState::new().hash_one(list.bytes) as f64 / u64::MAX as f64;
    let backoff = list.backoff(jitter);
    let _ = event_loop.send(Event::ListMalformed(list)).await;
    sleep(backoff).await;
    loss
}
