//! Table of attempts and requests in flight.

use std::collections::BTreeMap;

use super::{Attempt, AttemptKey};
use crate::interface::{AttemptNumber, MessageId, RequestId};

#[derive(Default)]
pub(crate) struct AttemptsInFlight {
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Number of attempts in flight of each request.
    requests: BTreeMap<RequestId, u32>,
}

pub(crate) struct EndedAttempt {
    pub(crate) attempt: Attempt,
    /// Whether the attempt was the last one of its request.
    pub(crate) request_ended: bool,
}

impl AttemptsInFlight {
    pub(crate) fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request that carries the given number of attempts.
    pub(crate) fn add_request(&mut self, id: RequestId, attempts: u32) {
        self.requests.insert(id, attempts);
    }

    pub(crate) fn add_attempt(&mut self, key: AttemptKey, attempt: Attempt) {
        self.attempts.insert(key, attempt);
    }

    pub(crate) fn attempt(&self, key: &AttemptKey) -> Option<&Attempt> {
        self.attempts.get(key)
    }

    /// Returns all attempts in the order of their keys.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.attempts.iter()
    }

    /// Marks the attempts of a request as cancelled, and calls `cancelled` with their keys in ascending
    /// order.
    pub(crate) fn cancel_request(&mut self, request: RequestId, mut cancelled: impl FnMut(&AttemptKey)) {
        for (key, attempt) in &mut self.attempts {
            if attempt.request == request {
                attempt.cancelled = true;
                cancelled(key);
            }
        }
    }

    /// Returns whether an attempt of the message is in flight.
    pub(crate) fn has_attempt_of(&self, message: &MessageId) -> bool {
        let first = AttemptKey { message: message.clone(), number: AttemptNumber(0) };
        self.attempts.range(first..).next().is_some_and(|(key, _)| key.message == *message)
    }

    /// Removes and returns an attempt that has ended; `None` if the attempt is not in flight.
    pub(crate) fn end_attempt(&mut self, key: &AttemptKey) -> Option<EndedAttempt> {
        let attempt = self.attempts.remove(key)?;
        let remaining = self.requests.get_mut(&attempt.request).map_or(0, |remaining| {
            *remaining -= 1;
            *remaining
        });
        if remaining == 0 {
            self.requests.remove(&attempt.request);
        }
        Some(EndedAttempt { attempt, request_ended: remaining == 0 })
    }
}
