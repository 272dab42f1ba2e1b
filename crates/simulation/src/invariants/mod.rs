//! The six rules, each checked by itself and written from the rules: nothing here asks the delivery policy, and what
//! the delivery policy believes of a message is not read. A violation names the message, the time and what led to
//! it.

mod answers;
mod attempts;
mod checker;
mod endpoints;
mod history;
mod ordering;
mod text;
mod violation;

pub(crate) use attempts::EndedAttempt;
pub use checker::{ClassRules, FleetRules, InvariantChecker, Violations};
pub use history::{proves_not_executed, AcceptedMessage, FinalAnswer};
pub use violation::{RetryAfterScope, Violation};

pub use crate::rule::Rule;
