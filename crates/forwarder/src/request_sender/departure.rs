//! Which messages of a batch are still sent once its connection is up.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use tokio::time::Instant;

use crate::connections::locked;

/// Shared by the sender of a request and its supervisor, who must agree on what may have been executed.
///
/// Seconds may pass until a connection is up. A message that has its result by then (cancelled or timed out) is
/// withheld and never sent; one that was sent may have been executed, and its result says so.
#[derive(Clone, Default)]
pub struct BatchDeparture(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    phase: Phase,
    /// Positions of messages that are never sent with this request.
    withheld: BTreeSet<usize>,
    /// By position, when the first byte is sent at the latest; without limit where no entry stands.
    start_deadlines: Vec<Instant>,
}

/// Where the request as a whole stands.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// It has no connection yet, and no byte of it was written.
    #[default]
    AwaitingConnection,
    /// Its first byte is about to be written, or more: each message that is not withheld may have been executed.
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
    /// Sets when the first byte of each message is sent at the latest, by position.
    pub(super) fn set_start_deadlines(&self, start_deadlines: Vec<Instant>) {
        locked(&self.0).start_deadlines = start_deadlines;
    }

    /// The first byte is about to be written: returns the positions to send, of so many messages. From here on each
    /// of them may have been executed. A message past its start deadline is withheld.
    pub(super) fn start_sending(&self, messages: usize) -> Vec<usize> {
        let mut state = locked(&self.0);
        let now = Instant::now();
        let late: Vec<usize> =
            (0..messages).filter(|position| state.start_deadline_passed(*position, now)).collect();
        state.withheld.extend(late);
        state.phase = Phase::Sending;
        (0..messages).filter(|position| state.was_sent(*position)).collect()
    }

    /// No byte was written after all: the request waits for a connection again, or is not sent.
    pub(super) fn revert_to_awaiting_connection(&self) {
        locked(&self.0).phase = Phase::AwaitingConnection;
    }

    /// The message is not waited for any longer: if it was not sent, it never will be. Returns which of the two is
    /// the case.
    pub(super) fn withdraw(&self, position: usize) -> MessageDeparture {
        let mut state = locked(&self.0);
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
        locked(&self.0).was_sent(position)
    }
}
