//! The one task that owns the decision module and the ledger. Sockets reach it through bounded queues only;
//! what the module asks for goes out from here, and only after the ledger has it.
//!
//! An envelope's way: [`admission`], the module's turn here, [`orders`], [`ledger_writing`], [`sending`], a call's task,
//! and back by [`Event::Ended`] to [`outcomes`]. The list of targets comes in through [`listing`].

mod admission;
mod ledger_writing;
mod listing;
mod orders;
mod outcomes;
mod sending;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reeddock::{DispatchNo, EnvelopeId, Forwarder, Host};
use reeddock_wal::{Ledger, Record};
use reeddock_protocol::{Answer, Ending, Notice};
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use crate::calls::Courier;
use crate::clock::Clock;
use crate::events::Event;
use crate::list_status::ListStatus;
use crate::seldom::Seldom;
use crate::targets::TargetTable;
use admission::Fresh;
use listing::Progress;
use orders::{Departing, Desk};

/// Events that are taken before the module has its turn, so that a flood cannot keep it from deciding.
const EVENTS_A_TURN: usize = 256;
/// What could not be begun is asked for again no sooner, so that a full disk does not make a busy loop.
const AFTER_A_FAULT: Duration = Duration::from_millis(20);
/// An id is not taken again for so long after its envelope is over: the copy that a client or a stranger sends
/// of an open request may come a moment after its end, and would have its effect twice.
const IDS_KEPT: Duration = Duration::from_secs(15);

/// An envelope that is owed its end.
struct Owed {
    body: Bytes,
    idempotency_key: Option<Arc<str>>,
    /// What it takes up.
    size: u64,
    dispatches: u32,
}

pub struct Owner {
    pub forwarder: Forwarder,
    pub ledger: Ledger,
    pub clock: Clock,
    pub courier: Courier,
    /// Envelopes in one call at most, by kind of destination.
    pub batches: BTreeMap<String, usize>,
    /// Turns are at most this often.
    pub tick: Duration,
    /// Bytes of envelopes that may be kept in memory.
    pub most_bodies: u64,
    pub notices: mpsc::UnboundedSender<Notice>,
    /// The queue's other end, for calls.
    pub events: mpsc::Sender<Event>,
    pub list_status: ListStatus,
    pub state: State,
}

/// What the owner keeps between turns.
#[derive(Default)]
pub struct State {
    desk: Desk,
    targets: TargetTable,
    /// A part of the list that is being told.
    listing: Option<Progress>,
    owed: BTreeMap<EnvelopeId, Owed>,
    /// Ids of envelopes that were over by then, and the same in that order.
    now: Duration,
    over: BTreeSet<EnvelopeId>,
    over_by: VecDeque<(Duration, EnvelopeId)>,
    bodies: u64,
    fresh: Vec<Fresh>,
    out: BTreeMap<(EnvelopeId, DispatchNo), oneshot::Sender<()>>,
    wakes: BTreeSet<Duration>,
    /// For the ledger, with the next turn.
    records: Vec<Record>,
    untold: usize,
    seldom: Seldom,
    unreadable: Seldom,
    unreadable_lists: Seldom,
    no_list: Seldom,
}

impl Owner {
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
            // What came together goes together: envelopes for one target in one call, outcomes before the turn.
            self.hear_watch_until(self.clock.next(self.tick), &mut watch).await;
            let now = self.clock.now();
            let mut heard = 0;
            loop {
                match more.take() {
                    Some(Event::Leaving(by)) => {
                        self.forwarder.leaving(self.clock.at(by));
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
                self.forwarder.alarm(now);
            }
            self.turn(now);
            if let Some(by) = stop {
                let done = clients_gone && self.state.owed.is_empty() && self.state.untold == 0;
                if done || Instant::now() >= by {
                    tracing::info!(
                        kept = self.state.owed.len(),
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
            Event::HandIn { hand_in, at, reply } => self.hand_in(hand_in, at, reply, now),
            Event::Ended { envelope, no, ending } => self.ended(envelope, no, ending, now),
            Event::Wait { target, wait } => {
                self.rest(target, now + wait);
                self.forwarder.told_to_wait(now, target, wait);
            }
            Event::Reported { target, report } => self.forwarder.reported(target, report),
            Event::List(piece) => self.hear_list(piece),
            Event::Unreadable(list) => self.list_unreadable(&list),
            Event::ListFailed => self.list_failed(),
            Event::Told(ids) => {
                self.state.untold = self.state.untold.saturating_sub(ids.len());
                self.state.records.extend(ids.iter().map(|id| Record::Told { id: id.0.to_string() }));
            }
            Event::Leaving(_) | Event::ClientsGone => {}
        }
    }

    /// The module's turn, and all that it asks for: first into the ledger, then out.
    fn turn(&mut self, now: Duration) {
        self.state.now = now;
        while self.state.over_by.front().is_some_and(|(until, _)| *until <= now) {
            let past = self.state.over_by.pop_front();
            past.map(|(_, id)| self.state.over.remove(&id));
        }
        self.forwarder.turn(now, &mut self.state.desk);
        self.forget_targets();
        let state = &mut self.state;
        state.wakes.extend(state.desk.wakes.drain(..).map(|after| now + after));
        let orders = state.orders();
        let fresh = state.take_on();
        let begun = state.numbered(orders.going);
        let (written, taken_on) = self.write(&fresh, &begun, now);
        for notice in orders.notices {
            self.state.untold += 1;
            let _ = self.notices.send(notice);
        }
        let mut gone = BTreeSet::new();
        for Fresh { id, reply, .. } in fresh {
            let answer = if taken_on { Answer::TakenOn } else { Answer::NoRoom };
            // A client that is no longer there has handed the envelope in anew.
            if reply.send(answer).is_err() || !taken_on {
                gone.insert(id);
            }
        }
        let targets = &self.state.targets;
        let goes = |b: &Departing| written && !gone.contains(&b.letter.id) && targets.get(b.target).is_some();
        let (begun, kept): (Vec<_>, Vec<_>) = begun.into_iter().partition(goes);
        self.start(begun);
        for dispatch in orders.called_off {
            if let Some(stop) = self.state.out.remove(&dispatch) {
                let _ = stop.send(());
            }
        }
        // What these leave to do comes with the next turn.
        if !kept.is_empty() || !gone.is_empty() {
            self.state.wakes.insert(now + AFTER_A_FAULT);
        }
        for dispatch in kept {
            self.ended(dispatch.letter.id, dispatch.no, Ending::NotBegun, now);
        }
        for id in gone {
            self.forwarder.end(&id, &mut self.state.desk);
            self.state.forget(&id);
            self.state.records.push(Record::Ended { id: id.0.to_string(), notice: None });
        }
    }
}

impl State {
    pub fn desk(&mut self) -> &mut impl Host {
        &mut self.desk
    }
}
