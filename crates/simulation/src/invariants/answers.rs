//! Checks of final answers, and of the effects that destinations applied.

use std::time::Duration;

use reeddock::Idempotency;

use super::checker::InvariantChecker;
use super::history::{FinalAnswer, GivenAnswer, MessageHistory};
use crate::ids::MessageIndex;
use crate::rule::Rule;

impl InvariantChecker {
    /// A message got a final answer.
    pub(crate) fn message_answered(&mut self, now: Duration, message: MessageIndex, answer: FinalAnswer) {
        if let Some(before) = self.histories[message.0].answer {
            self.check_second_answer(now, message, answer, before);
            return;
        }
        let answer_due = self.histories[message.0].answer_due;
        if now > answer_due && answer != FinalAnswer::Withdrawn {
            let what = format!("{answer}, due by {:.6}", answer_due.as_secs_f64());
            self.record_violation(Rule::OneAnswer, now, Some(message), what);
        }
        if answer == FinalAnswer::Rejected {
            if let Some(what) = self.harm_of_rejection(now, &self.histories[message.0]) {
                self.record_violation(Rule::NoDoubleEffect, now, Some(message), what.to_owned());
            }
        }
        self.histories[message.0].answer = Some(GivenAnswer { answer, at: now });
    }

    /// A withdrawal ends what is pending, and crosses an answer without harm.
    fn check_second_answer(
        &mut self,
        now: Duration,
        message: MessageIndex,
        answer: FinalAnswer,
        before: GivenAnswer,
    ) {
        if answer != FinalAnswer::Withdrawn && before.answer != FinalAnswer::Withdrawn {
            let what = format!("{answer} after {} at {:.6}", before.answer, before.at.as_secs_f64());
            self.record_violation(Rule::OneAnswer, now, Some(message), what);
        }
    }

    /// Why a message must not be rejected: its client may submit it again, and it may have been executed.
    fn harm_of_rejection(&self, now: Duration, history: &MessageHistory) -> Option<&'static str> {
        let first = history.first_possible_execution()?;
        match self.fleet.classes[history.message.class].idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some("effectful, shed though it may have run"),
            Idempotency::WithKey { window, .. } => {
                (now >= first + window).then_some("receipted, shed after its window though it may have run")
            }
        }
    }

    /// The time for a final answer is past. Says whether one is missing.
    #[must_use = "the client no longer waits for a message whose answer is missing"]
    pub(crate) fn is_answer_missing(&mut self, now: Duration, message: MessageIndex) -> bool {
        let history = &self.histories[message.0];
        if history.answer.is_some() || history.void || now < history.answer_due {
            return false;
        }
        let what = format!("no final answer by {:.6}", history.answer_due.as_secs_f64());
        self.record_violation(Rule::OneAnswer, now, Some(message), what);
        true
    }

    /// A message had its effect at a destination.
    pub(crate) fn effect_applied(&mut self, now: Duration, message: MessageIndex) {
        let accepted = self.histories[message.0].message;
        if self.fleet.classes[accepted.class].idempotency != Idempotency::NonIdempotent {
            return;
        }
        let times = self.effects.entry(accepted.submission).or_default();
        *times += 1;
        if *times > 1 {
            let what = format!("the destination applied first try {} a second time", accepted.submission.0);
            self.record_violation(Rule::NoDoubleEffect, now, Some(message), what);
        }
    }
}
