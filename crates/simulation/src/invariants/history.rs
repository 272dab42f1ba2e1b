//! The history of a message.

use std::fmt;
use std::time::Duration;

use reeddock::AttemptOutcome;

use super::text::OutcomeText;
use crate::ids::{EndpointIndex, ForwarderIndex, SubmissionIndex};

/// The final answer that a message got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The message was delivered.
    Completed,
    /// The message was rejected, so that the client may submit it again.
    Rejected,
    /// The message was not delivered, but may have been executed.
    Failed,
    /// The client withdrew the message, or no longer waits for its overdue answer.
    Withdrawn,
}

impl fmt::Display for FinalAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            FinalAnswer::Completed => "completed",
            FinalAnswer::Rejected => "shed",
            FinalAnswer::Failed => "broken off",
            FinalAnswer::Withdrawn => "withdrawn",
        })
    }
}

/// A message that a forwarder has accepted.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedMessage {
    /// The client's submission, which may be accepted as several messages.
    pub submission: SubmissionIndex,
    /// The forwarder that accepted the message.
    pub forwarder: ForwarderIndex,
    /// Index of the message class in [`FleetRules::classes`](super::FleetRules::classes).
    pub class: usize,
    /// Ordering key, `None` if the message is not ordered.
    pub ordering_key: Option<u64>,
    /// Deadline of the final answer, since the start of the run.
    pub deadline: Duration,
}

/// Returns whether an outcome proves that the message was not executed. Independent of the delivery policy's
/// own function, so that a defect there is found.
pub fn proves_not_executed(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Rejected { .. }
        | AttemptOutcome::NoConnection
        | AttemptOutcome::NotSent
        | AttemptOutcome::Malformed => true,
        AttemptOutcome::Completed
        | AttemptOutcome::Error
        | AttemptOutcome::TimedOut
        | AttemptOutcome::ConnectionReset
        | AttemptOutcome::Cancelled => false,
    }
}

/// Returns whether the endpoint may still be executing an attempt with this outcome.
fn may_still_run(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled)
}

/// An outcome, and the time at which it was reported to the forwarder.
#[derive(Clone, Copy)]
pub(super) struct ReportedOutcome {
    pub(super) outcome: AttemptOutcome,
    pub(super) at: Duration,
}

pub(super) struct AttemptHistory {
    pub(super) started_at: Duration,
    pub(super) endpoint: EndpointIndex,
    pub(super) ended: Option<ReportedOutcome>,
}

impl AttemptHistory {
    /// Returns whether the forwarder knows that the attempt was not executed.
    fn is_proven_not_executed(&self) -> bool {
        self.ended.is_some_and(|ended| proves_not_executed(ended.outcome))
    }
}

/// A final answer, and the time at which it was given.
#[derive(Clone, Copy)]
pub(super) struct GivenAnswer {
    pub(super) answer: FinalAnswer,
    pub(super) at: Duration,
}

/// One event of a message's history as text.
struct HistoryEvent {
    at: Duration,
    text: String,
}

impl fmt::Display for HistoryEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:.6} s: {}", self.at.as_secs_f64(), self.text)
    }
}

pub(super) struct MessageHistory {
    pub(super) message: AcceptedMessage,
    pub(super) accepted_at: Duration,
    pub(super) answer_due: Duration,
    pub(super) answer: Option<GivenAnswer>,
    /// Whether checks no longer apply, because the message was lost or answered before its forwarder was
    /// killed.
    pub(super) exempt: bool,
    pub(super) attempts: Vec<AttemptHistory>,
}

impl MessageHistory {
    pub(super) fn new(
        message: AcceptedMessage,
        accepted_at: Duration,
        answer_due: Duration,
    ) -> MessageHistory {
        MessageHistory { message, accepted_at, answer_due, answer: None, exempt: false, attempts: Vec::new() }
    }

    /// Returns the start of the first attempt that may have been executed.
    pub(super) fn first_possible_execution(&self) -> Option<Duration> {
        let possibly_executed = self.attempts.iter().filter(|attempt| !attempt.is_proven_not_executed());
        possibly_executed.map(|attempt| attempt.started_at).min()
    }

    /// Returns whether the message is answered or exempt, and has no attempt in flight.
    pub(super) fn is_finished(&self) -> bool {
        (self.answer.is_some() || self.exempt) && self.attempts.iter().all(|attempt| attempt.ended.is_some())
    }

    /// Returns the time until which the ordering key is held because attempts may still be running; zero if
    /// there are no such attempts.
    pub(super) fn key_held_until(&self, hold_off: Duration) -> Duration {
        let ended = self.attempts.iter().filter_map(|attempt| attempt.ended);
        let uncertain = ended.filter(|ended| may_still_run(ended.outcome));
        uncertain.map(|ended| ended.at + hold_off).max().unwrap_or_default()
    }

    /// Ends the attempts that were in flight before a restart of the forwarder, and postpones the due time of
    /// the answer.
    pub(super) fn restore(&mut self, now: Duration, answer_slack: Duration) {
        self.answer_due = self.answer_due.max(now + answer_slack);
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.ended.is_none()) {
            attempt.ended = Some(ReportedOutcome { outcome: AttemptOutcome::ConnectionReset, at: now });
        }
    }

    /// Returns a line for each event of the history, oldest first.
    pub(super) fn describe_events(&self) -> Vec<String> {
        let accepted = format!(
            "taken by forwarder {}, due by {:.6}",
            self.message.forwarder.0,
            self.answer_due.as_secs_f64()
        );
        let mut events = vec![HistoryEvent { at: self.accepted_at, text: accepted }];
        for (number, attempt) in self.attempts.iter().enumerate() {
            let started = format!("dispatch {number} to target {}", attempt.endpoint.0);
            events.push(HistoryEvent { at: attempt.started_at, text: started });
            if let Some(ended) = attempt.ended {
                let text = format!("dispatch {number} ended: {}", OutcomeText(ended.outcome));
                events.push(HistoryEvent { at: ended.at, text });
            }
        }
        if let Some(given) = self.answer {
            events.push(HistoryEvent { at: given.at, text: format!("answered: {}", given.answer) });
        }
        events.sort_by_key(|event| event.at);
        events.iter().map(ToString::to_string).collect()
    }
}
