//! What happened to one message.

use std::fmt;
use std::time::Duration;

use reeddock::AttemptOutcome;

use super::text::OutcomeText;
use crate::ids::{EndpointIndex, ForwarderIndex, SubmissionIndex};

/// The final answer that a message got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Delivered.
    Completed,
    /// Rejected without delivery: the client may submit it again.
    Rejected,
    /// Failed without delivery: it may have been executed.
    Failed,
    /// The client withdrew it, or got no answer in time; it is pending no longer.
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

/// A message that a forwarder accepted.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedMessage {
    /// What the client wants delivered.
    pub submission: SubmissionIndex,
    /// The forwarder that accepted it.
    pub forwarder: ForwarderIndex,
    /// Index of its class.
    pub class: usize,
    /// Its ordering key, if it has one.
    pub ordering_key: Option<u64>,
    /// Deadline of its final answer, since the start of the run.
    pub deadline: Duration,
}

/// Whether an outcome proves that nothing was executed, as the rules have it; kept apart from the delivery policy's
/// own list.
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

/// Whether the endpoint may still be executing an attempt that ended so.
fn may_still_run(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled)
}

/// An outcome, and when it was reported to the forwarder.
#[derive(Clone, Copy)]
pub(super) struct ReportedOutcome {
    pub(super) outcome: AttemptOutcome,
    pub(super) at: Duration,
}

/// One attempt for a message.
pub(super) struct AttemptHistory {
    pub(super) started_at: Duration,
    pub(super) endpoint: EndpointIndex,
    pub(super) ended: Option<ReportedOutcome>,
}

impl AttemptHistory {
    /// Known by now to have had no effect.
    fn is_proven_not_executed(&self) -> bool {
        self.ended.is_some_and(|ended| proves_not_executed(ended.outcome))
    }
}

/// A final answer, and when it was given.
#[derive(Clone, Copy)]
pub(super) struct GivenAnswer {
    pub(super) answer: FinalAnswer,
    pub(super) at: Duration,
}

/// One event of a message's history, in words.
struct HistoryEvent {
    at: Duration,
    text: String,
}

impl fmt::Display for HistoryEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:.6} s: {}", self.at.as_secs_f64(), self.text)
    }
}

/// What happened to one message.
pub(super) struct MessageHistory {
    pub(super) message: AcceptedMessage,
    pub(super) accepted_at: Duration,
    pub(super) answer_due: Duration,
    pub(super) answer: Option<GivenAnswer>,
    /// Its forwarder was killed and has no write-ahead log, or had answered.
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

    /// Start of the first attempt that may have been executed.
    pub(super) fn first_possible_execution(&self) -> Option<Duration> {
        let possibly_executed = self.attempts.iter().filter(|attempt| !attempt.is_proven_not_executed());
        possibly_executed.map(|attempt| attempt.started_at).min()
    }

    /// It has its final answer, and no attempt for it is in flight.
    pub(super) fn is_finished(&self) -> bool {
        (self.answer.is_some() || self.exempt) && self.attempts.iter().all(|attempt| attempt.ended.is_some())
    }

    /// Until when its ordering key is held after attempts that may still run; zero where none may.
    pub(super) fn key_held_until(&self, hold_off: Duration) -> Duration {
        let ended = self.attempts.iter().filter_map(|attempt| attempt.ended);
        let uncertain = ended.filter(|ended| may_still_run(ended.outcome));
        uncertain.map(|ended| ended.at + hold_off).max().unwrap_or_default()
    }

    /// Its forwarder has started again: attempts that were in flight are over, and an answer is not due at once.
    pub(super) fn restore(&mut self, now: Duration, answer_slack: Duration) {
        self.answer_due = self.answer_due.max(now + answer_slack);
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.ended.is_none()) {
            attempt.ended = Some(ReportedOutcome { outcome: AttemptOutcome::ConnectionReset, at: now });
        }
    }

    /// All that happened, oldest first, in the operators' words.
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
