//! Reads the body of a watch: what it tells goes to the owner in pieces, as it comes.

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
use crate::watch_schedule::Loss;

/// Events of a list that the owner applies in one step at most, a few microseconds each.
pub const LIST_PIECE: usize = 256;
/// Pieces that wait for the owner at most; the reader waits beyond that, and so does discovery.
pub const PIECES_WAITING: usize = 2;

/// Reads until the watch ends; says why it did. `cached_list` is the generation of the last part that the owner has
/// whole; `heard` is set once any line has come to its end. After a list that can't be read the connection is
/// closed, and a rest is kept before this returns. Nothing for `silent_after` is a silence.
pub(crate) async fn read(
    connection: Connection,
    mut body: Incoming,
    cached_list: &mut u64,
    heard: &mut bool,
    silent_after: Duration,
    event_loop: &mpsc::Sender<Event>,
) -> Loss {
    let mut reading = Reading { decoder: ListDecoder::default(), generation: None, piece: Vec::new() };
    loop {
        let frame = match timeout(silent_after, body.frame()).await {
            Err(_) => return Loss::Silent,
            Ok(None) => return Loss::Broken("closed".into()),
            Ok(Some(Err(e))) => return Loss::Broken(e.to_string()),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(bytes) = frame.into_data() else { continue };
        match reading.take(&bytes, cached_list, heard, event_loop).await {
            Ok(()) => {}
            Err(Stop::OwnerGone) => return Loss::Broken("the forwarder stops".into()),
            Err(Stop::Unreadable(list)) => {
                drop((connection, body));
                return rest_after(list, event_loop).await;
            }
        }
    }
}

/// Why a watch is not read any further.
enum Stop {
    OwnerGone,
    Unreadable(MalformedList),
}

/// Tells the owner of a list that can't be read, and lets it rest by what it cost.
async fn rest_after(list: MalformedList, event_loop: &mpsc::Sender<Event>) -> Loss {
    let loss = Loss::Broken(format!("a list that can't be read: {}", list.fault));
    // Only keeps forwarders apart.
    let drawn = RandomState::new().hash_one(list.bytes) as f64 / u64::MAX as f64;
    let rest = list.rest(drawn);
    let _ = event_loop.send(Event::Unreadable(list)).await;
    sleep(rest).await;
    loss
}

/// One watch that is being read.
struct Reading {
    decoder: ListDecoder,
    /// Of the part that is being told.
    generation: Option<u64>,
    /// Not yet handed to the owner.
    piece: Vec<ListEvent>,
}

impl Reading {
    /// Takes these bytes, and hands on what they tell.
    async fn take(
        &mut self,
        mut bytes: &[u8],
        cached_list: &mut u64,
        heard: &mut bool,
        event_loop: &mpsc::Sender<Event>,
    ) -> Result<(), Stop> {
        loop {
            let event = match self.decoder.next(&mut bytes) {
                Ok(Some(event)) => event,
                Ok(None) => return self.hand_on(cached_list, event_loop).await,
                Err(fault) => {
                    let bytes = self.decoder.bytes();
                    return Err(Stop::Unreadable(MalformedList { fault: fault.to_string(), bytes }));
                }
            };
            *heard |= matches!(event, ListEvent::Ends | ListEvent::Heartbeat);
            if event != ListEvent::Heartbeat {
                self.piece.push(event);
            }
            if self.piece.len() >= LIST_PIECE {
                self.hand_on(cached_list, event_loop).await?;
            }
        }
    }

    async fn hand_on(&mut self, cached_list: &mut u64, event_loop: &mpsc::Sender<Event>) -> Result<(), Stop> {
        if self.piece.is_empty() {
            return Ok(());
        }
        let mut ended = None;
        for event in &self.piece {
            match event {
                ListEvent::Begins { generation, .. } => self.generation = Some(*generation),
                ListEvent::Ends => ended = self.generation,
                _ => {}
            }
        }
        let piece = mem::take(&mut self.piece);
        if event_loop.send(Event::List(piece)).await.is_err() {
            return Err(Stop::OwnerGone);
        }
        // Only now: a watch that is left for another address before this asks for it again.
        *cached_list = ended.unwrap_or(*cached_list);
        Ok(())
    }
}
