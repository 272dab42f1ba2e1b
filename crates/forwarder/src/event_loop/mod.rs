//! The one task that owns the decision module and the write-ahead log. Sockets reach it through bounded queues only;
//! what the delivery policy asks for goes out from here, and only after the write-ahead log has it.
//!
//! A message's way: [`admission`], the delivery policy's turn here, [`command_batch`], [`log_writing`], [`sending`], a call's task,
//! and back by [`Event::Ended`] to [`outcomes`]. The list of endpoints comes in through [`listing`].

mod admission;
mod commands;
mod listing;
mod log_writing;
mod outcomes;
mod sending;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reeddock::{AttemptNumber, DeliveryPolicy, MessageId, PolicyHost};
use reeddock_protocol::{AttemptResult, ClientResponse, DeliveryNotice};
use reeddock_wal::{Record, WriteAheadLog};
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use crate::clock::Clock;
use crate::endpoints::TargetTable;
use crate::events::Event;
use crate::list_status::ListStatus;
use crate::log_throttle::LogThrottle;
use crate::request_sender::RequestSender;
use admission::NewSubmission;
use commands::{CommandBuffer, OutgoingAttempt};
use listing::Progress;

/// Events that are taken before the delivery policy has its turn, so that a flood cannot keep it from deciding.
const EVENTS_A_TURN: usize = 256;
/// What could not be begun is asked for again no sooner, so that a full disk does not make a busy loop.
const AFTER_A_FAULT: Duration = Duration::from_millis(20);
/// An id is not taken again for so long after its message is over: the copy that a client or a stranger sends
/// of an open request may come a moment after its end, and would have its effect twice.
const IDS_KEPT: Duration = Duration::from_secs(15);

/// A message that is owed its end.
struct PendingEntry {
    body: Bytes,
    idempotency_key: Option<Arc<str>>,
    /// What it takes up.
    size: u64,
    attempts: u32,
}

pub struct EventLoop {
    pub policy: DeliveryPolicy,
    pub log: WriteAheadLog,
    pub clock: Clock,
    pub request_sender: RequestSender,
    /// Messages in one call at most, by kind of destination.
    pub batches: BTreeMap<String, usize>,
    /// Turns are at most this often.
    pub tick: Duration,
    /// Bytes of messages that may be kept in memory.
    pub most_bodies: u64,
    pub notices: mpsc::UnboundedSender<DeliveryNotice>,
    /// The queue's other end, for calls.
    pub events: mpsc::Sender<Event>,
    pub list_status: ListStatus,
    pub state: State,
}

/// What the owner keeps between turns.
#[derive(Default)]
pub struct State {
    commands: CommandBuffer,
    endpoints: TargetTable,
    /// A part of the list that is being told.
    listing: Option<Progress>,
    pending: BTreeMap<MessageId, PendingEntry>,
    /// Ids of messages that were over by then, and the same in that order.
    now: Duration,
    finished: BTreeSet<MessageId>,
    finished_expiry: VecDeque<(Duration, MessageId)>,
    bodies: u64,
    new_submissions: Vec<NewSubmission>,
    out: BTreeMap<(MessageId, AttemptNumber), oneshot::Sender<()>>,
    wakes: BTreeSet<Duration>,
    /// For the write-ahead log, with the next turn.
    records: Vec<Record>,
    unacknowledged: usize,
    log_throttle: LogThrottle,
    unreadable: LogThrottle,
    unreadable_lists: LogThrottle,
    no_list: LogThrottle,
}

impl EventLoop {
    /// Decides and carries out until the program is to stop. `queue` has what all sockets but the watch tell; the
    /// watch has a short queue of its own, so that a long list and everything else wait for each other only for a
    /// moment.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Event>, mut watch: mpsc::Receiver<Event>) {
        let mut stop: Option<Instant> = None;
        let mut clients_gone = false;
        self.turn(self.clock.now());
        loop {
            let wake = self.state.wakes.first().map(|at| self.clock.instant(*at));
            let next = [wake, stop].into_iter().flatten().min();
            let mut more = tokio::select! {
                event = queue.recv() => event,
                Some(event) = watch.recv() => {
                    self.hear(event, self.clock.now());
                    queue.try_recv().ok()
                }
                _ = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => None,
            };
            // What came together goes together: messages for one endpoint in one call, outcomes before the turn.
            self.hear_watch_until(self.clock.next(self.tick), &mut watch).await;
            let now = self.clock.now();
            let mut heard = 0;
            loop {
                match more.take() {
                    Some(Event::Leaving(by)) => {
                        self.policy.begin_shutdown(self.clock.at(by));
                        stop = Some(by);
                    }
                    Some(Event::ClientsGone) => clients_gone = true,
                    Some(event) => self.hear(event, now),
                    None => break,
                }
                heard += 1;
                if heard < EVENTS_A_TURN {
                    more = queue.try_recv().ok();
                }
            }
            while self.state.wakes.first().is_some_and(|at| *at <= now) {
                self.state.wakes.pop_first();
                self.policy.timer_fired(now);
            }
            self.turn(now);
            if let Some(by) = stop {
                let done = clients_gone && self.state.pending.is_empty() && self.state.unacknowledged == 0;
                if done || Instant::now() >= by {
                    tracing::info!(
                        kept = self.state.pending.len(),
                        "stopped; what is kept stands in the ledger"
                    );
                    return;
                }
            }
        }
    }

    /// Sleeps until then, and applies meanwhile what the watch tells. Between two pieces all other tasks go on.
    async fn hear_watch_until(&mut self, until: Instant, watch: &mut mpsc::Receiver<Event>) {
        let mut slept = pin!(sleep_until(until));
        loop {
            tokio::select! {
                biased;
                () = &mut slept => return,
                Some(event) = watch.recv() => self.hear(event, self.clock.now()),
            }
            yield_now().await;
        }
    }

    fn hear(&mut self, event: Event, now: Duration) {
        match event {
            Event::Submission { submit, at, reply } => self.submit(submit, at, reply, now),
            Event::Ended { message, no, result } => self.ended(message, no, result, now),
            Event::Wait { endpoint, wait } => {
                self.rest(endpoint, now + wait);
                self.policy.retry_after_received(now, endpoint, wait);
            }
            Event::Reported { endpoint, report } => self.policy.load_reported(endpoint, report),
            Event::List(piece) => self.hear_list(piece),
            Event::Unreadable(list) => self.list_unreadable(&list),
            Event::ListFailed => self.discovery_failed(),
            Event::Told(ids) => {
                self.state.unacknowledged = self.state.unacknowledged.saturating_sub(ids.len());
                self.state
                    .records
                    .extend(ids.iter().map(|id| Record::NoticeAcknowledged { id: id.0.to_string() }));
            }
            Event::Leaving(_) | Event::ClientsGone => {}
        }
    }

    /// The delivery policy's turn, and all that it asks for: first into the write-ahead log, then out.
    fn turn(&mut self, now: Duration) {
        self.state.now = now;
        while self.state.finished_expiry.front().is_some_and(|(until, _)| *until <= now) {
            let past = self.state.finished_expiry.pop_front();
            past.map(|(_, id)| self.state.finished.remove(&id));
        }
        self.policy.run_due_work(now, &mut self.state.commands);
        self.forget_targets();
        let state = &mut self.state;
        state.wakes.extend(state.commands.wakes.drain(..).map(|after| now + after));
        let command_batch = state.command_batch();
        let new_submissions = state.accept_submissions();
        let begun = state.numbered(command_batch.going);
        let (written, taken_on) = self.write(&new_submissions, &begun, now);
        for notice in command_batch.notices {
            self.state.unacknowledged += 1;
            let _ = self.notices.send(notice);
        }
        let mut gone = BTreeSet::new();
        for NewSubmission { id, reply, .. } in new_submissions {
            let answer = if taken_on { ClientResponse::Accepted } else { ClientResponse::NoCapacity };
            // A client that is no longer there has handed the message in anew.
            if reply.send(answer).is_err() || !taken_on {
                gone.insert(id);
            }
        }
        let endpoints = &self.state.endpoints;
        let goes = |b: &OutgoingAttempt| {
            written && !gone.contains(&b.message.id) && endpoints.get(b.endpoint).is_some()
        };
        let (begun, kept): (Vec<_>, Vec<_>) = begun.into_iter().partition(goes);
        self.start(begun);
        for dispatch in command_batch.cancelled {
            if let Some(stop) = self.state.out.remove(&dispatch) {
                let _ = stop.send(());
            }
        }
        // What these leave to do comes with the next turn.
        if !kept.is_empty() || !gone.is_empty() {
            self.state.wakes.insert(now + AFTER_A_FAULT);
        }
        for dispatch in kept {
            self.ended(dispatch.message.id, dispatch.no, AttemptResult::NotSent, now);
        }
        for id in gone {
            self.policy.withdraw(&id, &mut self.state.commands);
            self.state.forget(&id);
            self.state.records.push(Record::Finished { id: id.0.to_string(), notice: None });
        }
    }
}

impl State {
    pub fn commands(&mut self) -> &mut impl PolicyHost {
        &mut self.commands
    }
}
