//! The one list of ways in which a dispatch on a connection can end, and what each means to the module.

use std::time::Duration;

use reeddock::Outcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered: delivered.
    Completed,
    /// Answered: it failed there, and may have run.
    Failed,
    /// Turned away unseen, perhaps with a wait.
    TurnedAway(Option<Duration>),
    /// Not sent on: every slot of this forwarder was taken.
    NoSlot,
    /// Not sent on: the envelope has had all its dispatches.
    NoMoreDispatches,
    /// Not sent on: the envelope is over, and nothing more is owed.
    Over,
    /// A call with nothing else was answered as not readable or too large; it never ran.
    NotReadable,
    /// The same for a call with others, one of which may be at fault.
    NotReadableTogether,
    /// Answered with what no one agreed on; it may have run.
    Unheard,
    /// The connection was refused, or the attempt to make it failed.
    Refused,
    /// No connection came up in time.
    NeverUp,
    /// The connection broke before the call's last byte was written.
    CutShort,
    /// The connection broke after the last byte was written.
    Broken,
    /// What came back after that was no answer, or not a whole one.
    Spoilt,
    /// No answer in time.
    TimedOut,
    /// Given up by this forwarder.
    CalledOff,
    /// Not sent on: while its connection was being made, its target asked to be left alone for a while.
    ToldToWait,
    /// Not sent on: while its connection was being made, the list said that its target leaves or is gone.
    TargetLeaves,
    /// It never left: no descriptor was free for it, the ledger could not be written first, or it was given up
    /// before.
    NotBegun,
}

impl Ending {
    /// The only place where an ending becomes the module's outcome.
    pub fn outcome(self) -> Outcome {
        match self {
            Ending::Completed => Outcome::Completed,
            Ending::Failed | Ending::Unheard | Ending::Spoilt => Outcome::Error,
            Ending::TurnedAway(wait) => Outcome::Full(wait),
            // These two say nothing of room at the target, so that they are no `Full`.
            Ending::NoMoreDispatches | Ending::Over => Outcome::Unsent,
            Ending::NoSlot | Ending::NotReadableTogether => Outcome::Unsent,
            Ending::ToldToWait | Ending::TargetLeaves | Ending::NotBegun => Outcome::Unsent,
            Ending::NotReadable => Outcome::Unreadable,
            Ending::Refused | Ending::NeverUp | Ending::CutShort => Outcome::NoConnection,
            Ending::Broken => Outcome::Broken,
            Ending::TimedOut => Outcome::TimedOut,
            Ending::CalledOff => Outcome::CalledOff,
        }
    }

    /// Whether the envelope is over with it, with no notice owed.
    pub fn ends_envelope(self) -> bool {
        matches!(self, Ending::Completed | Ending::Over)
    }
}
