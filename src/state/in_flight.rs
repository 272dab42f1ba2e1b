//! Attempts and requests that have no outcome yet.

use std::collections::BTreeMap;

use super::{Attempt, AttemptKey};
use crate::interface::{AttemptNumber, MessageId, RequestId};

/// All attempts and requests in flight.
#[derive(Default)]
pub(crate) struct AttemptsInFlight {
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// Attempts of each request that have no outcome yet.
    requests: BTreeMap<RequestId, u32>,
}

/// An attempt that has ended.
pub(crate) struct EndedAttempt {
    pub(crate) attempt: Attempt,
    /// It was the last one of its request.
    pub(crate) request_ended: bool,
}

impl AttemptsInFlight {
    pub(crate) fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Enters a request that carries so many attempts.
    pub(crate) fn add_request(&mut self, id: RequestId, attempts: u32) {
        self.requests.insert(id, attempts);
    }

    pub(crate) fn add_attempt(&mut self, key: AttemptKey, attempt: Attempt) {
        self.attempts.insert(key, attempt);
    }

    pub(crate) fn attempt(&self, key: &AttemptKey) -> Option<&Attempt> {
        self.attempts.get(key)
    }

    /// All attempts, in the order of their keys.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.attempts.iter()
    }

    /// Marks the attempts that a request carries as cancelled, and calls `cancelled` with the key of each, in
    /// ascending order.
    pub(crate) fn cancel_request(&mut self, request: RequestId, mut cancelled: impl FnMut(&AttemptKey)) {
        for (key, attempt) in &mut self.attempts {
            if attempt.request == request {
                attempt.cancelled = true;
                cancelled(key);
            }
        }
    }

    /// Whether an attempt of the message is in flight.
    pub(crate) fn has_attempt_of(&self, message: &MessageId) -> bool {
        let first = AttemptKey { message: message.clone(), number: AttemptNumber(0) };
        self.attempts.range(first..).next().is_some_and(|(key, _)| key.message == *message)
    }

    /// Takes out an attempt that has ended.
    pub(crate) fn end_attempt(&mut self, key: &AttemptKey) -> Option<EndedAttempt> {
        let attempt = self.attempts.remove(key)?;
        let left = self.requests.get_mut(&attempt.request).map_or(0, |left| {
            *left -= 1;
            *left
        });
        if left == 0 {
            self.requests.remove(&attempt.request);
        }
        Some(EndedAttempt { attempt, request_ended: left == 0 })
    }
}
