//! Checks of final answers and of effects at destinations.

use std::time::Duration;

use reeddock::Idempotency;

use super::checker::InvariantChecker;
use super::history::{FinalAnswer, GivenAnswer, MessageHistory};
use crate::ids::MessageIndex;
use crate::rule::Rule;

impl InvariantChecker {
    /// Records the final answer of a message, and checks that it is allowed.
    pub(crate) fn record_answer(&mut self, now: Duration, message: MessageIndex, answer: FinalAnswer) {
        if let Some(before) = self.histories[message.0].answer {
            self.check_second_answer(now, message, answer, before);
            return;
        }
        let answer_due = self.histories[message.0].answer_due;
        if now > answer_due && answer != FinalAnswer::Withdrawn {
            let description = format!("{answer}, due by {:.6}", answer_due.as_secs_f64());
            self.record_violation(Rule::OneAnswer, now, Some(message), description);
        }
        if answer == FinalAnswer::Rejected {
            if let Some(description) = self.find_rejection_hazard(now, &self.histories[message.0]) {
                self.record_violation(Rule::NoDoubleEffect, now, Some(message), description.to_owned());
            }
        }
        self.histories[message.0].answer = Some(GivenAnswer { answer, at: now });
    }

    /// Records a violation if a message has a second final answer. A withdrawal in addition to an answer is
    /// allowed.
    fn check_second_answer(
        &mut self,
        now: Duration,
        message: MessageIndex,
        answer: FinalAnswer,
        before: GivenAnswer,
    ) {
        if answer != FinalAnswer::Withdrawn && before.answer != FinalAnswer::Withdrawn {
            let description = format!("{answer} after {} at {:.6}", before.answer, before.at.as_secs_f64());
            self.record_violation(Rule::OneAnswer, now, Some(message), description);
        }
    }

    /// Returns why a message must not be rejected, or `None` if a rejection is allowed. The client may submit
    /// a rejected message again, which could repeat an effect.
    fn find_rejection_hazard(&self, now: Duration, history: &MessageHistory) -> Option<&'static str> {
        let first = history.first_possible_execution()?;
        match self.fleet.classes[history.message.class].idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some("effectful, shed though it may have run"),
            Idempotency::WithKey { window, .. } => {
                (now >= first + window).then_some("receipted, shed after its window though it may have run")
            }
        }
    }

    /// Records a violation if the final answer of a message is overdue. Returns whether it is.
    #[must_use = "the client no longer waits for a message whose answer is missing"]
    pub(crate) fn check_answer_missing(&mut self, now: Duration, message: MessageIndex) -> bool {
        let history = &self.histories[message.0];
        if history.answer.is_some() || history.exempt || now < history.answer_due {
            return false;
        }
        let description = format!("no final answer by {:.6}", history.answer_due.as_secs_f64());
        self.record_violation(Rule::OneAnswer, now, Some(message), description);
        true
    }

    /// Records an effect at a destination, and checks that a non-idempotent message has only one.
    pub(crate) fn record_effect(&mut self, now: Duration, message: MessageIndex) {
        let accepted = self.histories[message.0].message;
        if self.fleet.classes[accepted.class].idempotency != Idempotency::NonIdempotent {
            return;
        }
        let times = self.effects.entry(accepted.submission).or_default();
        *times += 1;
        if *times > 1 {
            let description =
                format!("the destination applied first try {} a second time", accepted.submission.0);
            self.record_violation(Rule::NoDoubleEffect, now, Some(message), description);
        }
    }
}
