//! The module and the baselines that it is measured against.

mod desk;
mod habits;
mod module;
pub mod sharing;

use std::time::Duration;

use reeddock::{PolicyHost, Settings};

use crate::policy::Policy;

pub use module::Module;

/// The policies that a run may be asked for by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Known {
    /// The decision module.
    Module,
    /// Each envelope once, in the order of arrival.
    OneTry,
    /// Retries with doubling, jittered back-off.
    BackOff,
    /// Round robin with a breaker of three states for each target, and retries.
    Breaker,
    /// Sees the true state of all destinations; a measure of what could be reached and no bound proved.
    Ceiling,
}

impl Known {
    pub const ALL: [Known; 5] =
        [Known::Module, Known::OneTry, Known::BackOff, Known::Breaker, Known::Ceiling];

    pub fn name(self) -> &'static str {
        match self {
            Known::Module => "module",
            Known::OneTry => "one-try",
            Known::BackOff => "back-off",
            Known::Breaker => "breaker",
            Known::Ceiling => "ceiling",
        }
    }

    pub fn named(name: &str) -> Option<Known> {
        Known::ALL.into_iter().find(|k| k.name() == name)
    }

    pub fn open(self, now: Duration, terms: Settings, host: &mut dyn PolicyHost) -> Box<dyn Policy> {
        match self {
            Known::Module => Box::new(Module::open(now, terms, host)),
            Known::OneTry => Box::new(desk::Desk::open(terms, habits::OneTry)),
            Known::BackOff => Box::new(desk::Desk::open(terms, habits::BackOff)),
            Known::Breaker => Box::new(desk::Desk::open(terms, habits::Breaker::default())),
            Known::Ceiling => Box::new(desk::Desk::open(terms, habits::Ceiling::default())),
        }
    }
}
