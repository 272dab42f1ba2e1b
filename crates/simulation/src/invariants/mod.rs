//! Checks of the six delivery rules, independent of the delivery policy's code and state. A violation
//! contains the message, the time and the events that preceded it.

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
