//! Tracks which messages of a batch are sent when its connection is open.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use tokio::time::Instant;

use crate::connections::lock;

/// The send state of a batch, shared by the sender of the request and its supervisor.
///
/// Opening a connection may take seconds. A message that is cancelled or timed out before then is withheld. A
/// message that was sent may have been executed, and its result must say so.
#[derive(Clone, Default)]
pub struct BatchSendState(Arc<Mutex<SendState>>);

#[derive(Default)]
struct SendState {
    phase: Phase,
    /// Positions of the messages that are not sent with this request.
    withheld: BTreeSet<usize>,
    /// The latest time for the first byte of each message, by position. A message without an entry has no
    /// limit.
    start_deadlines: Vec<Instant>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// The request has no connection, and no byte of it was written.
    #[default]
    AwaitingConnection,
    /// The first byte is written or about to be written. Each message that is not withheld may have been
    /// executed.
    Sending,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageSendStatus {
    /// The message was sent and may have been executed.
    Sent,
    /// The message was not sent and will not be sent with this request.
    Withheld,
}

impl SendState {
    fn start_deadline_passed(&self, position: usize, now: Instant) -> bool {
        self.start_deadlines.get(position).is_some_and(|deadline| *deadline <= now)
    }

    fn was_sent(&self, position: usize) -> bool {
        self.phase == Phase::Sending && !self.withheld.contains(&position)
    }
}

impl BatchSendState {
    pub(super) fn set_start_deadlines(&self, start_deadlines: Vec<Instant>) {
        lock(&self.0).start_deadlines = start_deadlines;
    }

    /// Starts sending the request and returns the positions of the messages to send.
    ///
    /// Must be called before the first byte is written. Each returned message may have been executed from
    /// then on. Messages past their start deadline are withheld.
    pub(super) fn start_sending(&self, messages: usize) -> Vec<usize> {
        let mut state = lock(&self.0);
        let now = Instant::now();
        let late: Vec<usize> =
            (0..messages).filter(|position| state.start_deadline_passed(*position, now)).collect();
        state.withheld.extend(late);
        state.phase = Phase::Sending;
        (0..messages).filter(|position| state.was_sent(*position)).collect()
    }

    /// Reverts to waiting for a connection. Must be called if no byte was written after `start_sending`.
    pub(super) fn revert_to_awaiting_connection(&self) {
        lock(&self.0).phase = Phase::AwaitingConnection;
    }

    /// Withdraws a message. If it was not sent, it is withheld. Returns whether it was sent.
    pub(super) fn withdraw(&self, position: usize) -> MessageSendStatus {
        let mut state = lock(&self.0);
        if state.phase == Phase::AwaitingConnection {
            state.withheld.insert(position);
        }
        if state.was_sent(position) {
            MessageSendStatus::Sent
        } else {
            MessageSendStatus::Withheld
        }
    }

    /// Returns whether the message was sent.
    pub(super) fn was_sent(&self, position: usize) -> bool {
        lock(&self.0).was_sent(position)
    }
}
