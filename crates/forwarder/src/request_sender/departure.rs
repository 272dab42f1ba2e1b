//! Which messages of a batch are still sent once its connection is open.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use tokio::time::Instant;

use crate::connections::lock;

/// Shared by the sender of a request and its supervisor, who must agree on what may have been executed.
///
/// Seconds may pass until a connection is open. A message that has its result by then (cancelled or timed out) is
/// withheld and never sent; one that was sent may have been executed, and its result says so.
#[derive(Clone, Default)]
pub struct BatchDeparture(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    phase: Phase,
    /// Positions of messages that are never sent with this request.
    withheld: BTreeSet<usize>,
    /// By position, the latest time for the first byte; a message without an entry has no limit.
    start_deadlines: Vec<Instant>,
}

/// The phase of the whole request.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// It has no connection yet, and no byte of it was written.
    #[default]
    AwaitingConnection,
    /// Its first byte is about to be written or was written: each message that is not withheld may have been executed.
    Sending,
}

/// Whether a message was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageDeparture {
    /// It was sent and may have been executed.
    Sent,
    /// It was not sent and never will be with this request.
    Withheld,
}

impl State {
    fn start_deadline_passed(&self, position: usize, now: Instant) -> bool {
        self.start_deadlines.get(position).is_some_and(|deadline| *deadline <= now)
    }

    fn was_sent(&self, position: usize) -> bool {
        self.phase == Phase::Sending && !self.withheld.contains(&position)
    }
}

impl BatchDeparture {
    /// Sets the latest time for the first byte of each message, by position.
    pub(super) fn set_start_deadlines(&self, start_deadlines: Vec<Instant>) {
        lock(&self.0).start_deadlines = start_deadlines;
    }

    /// Must be called before the first byte is written. Of `messages` messages, returns the positions of those to send;
    /// from here on each of them may have been executed. A message past its start deadline is withheld.
    pub(super) fn start_sending(&self, messages: usize) -> Vec<usize> {
        let mut state = lock(&self.0);
        let now = Instant::now();
        let late: Vec<usize> =
            (0..messages).filter(|position| state.start_deadline_passed(*position, now)).collect();
        state.withheld.extend(late);
        state.phase = Phase::Sending;
        (0..messages).filter(|position| state.was_sent(*position)).collect()
    }

    /// Must be called if no byte was written after all: the request waits for a connection again, or is not sent.
    pub(super) fn revert_to_awaiting_connection(&self) {
        lock(&self.0).phase = Phase::AwaitingConnection;
    }

    /// Withdraws a message that is no longer waited for: if it was not sent, it never will be. Returns whether it was.
    pub(super) fn withdraw(&self, position: usize) -> MessageDeparture {
        let mut state = lock(&self.0);
        if state.phase == Phase::AwaitingConnection {
            state.withheld.insert(position);
        }
        if state.was_sent(position) {
            MessageDeparture::Sent
        } else {
            MessageDeparture::Withheld
        }
    }

    /// Whether the message was sent.
    pub(super) fn was_sent(&self, position: usize) -> bool {
        lock(&self.0).was_sent(position)
    }
}
