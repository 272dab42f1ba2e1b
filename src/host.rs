//! The interface between the decision module and the program that hosts it: ids, what is told at start, how a
//! dispatch may end, and what the module may ask for.

use std::sync::Arc;
use std::time::Duration;

/// An envelope's id, given back as it came.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EnvelopeId(pub Arc<str>);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DestinationId(pub u64);

/// What envelopes of an ordered category are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// Dispatches of one envelope are numbered from 0 in the order in which they were asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DispatchNo(pub u32);

/// Dispatches of several envelopes that travel together, in the order in which they were asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNo(pub u64);

/// Which targets of a destination know a receipted envelope again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Pure,
    Receipted { window: Duration, group: Group },
    Effectful,
}

/// How one dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Error,
    /// Turned away unseen, perhaps with a wait that the destination asks for.
    Full(Option<Duration>),
    TimedOut,
    NoConnection,
    Broken,
    CalledOff,
    /// It never left the forwarder.
    Unsent,
    /// The target could make nothing of it, and nothing of it ran.
    Unreadable,
}

impl Outcome {
    /// Whether this end proves that the dispatch had no effect.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Full(_) | NoConnection | Unsent | Unreadable)
    }
}

/// What an answer or a probe told of the limit of its route: late, and a little noisy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Share of the limit that was left.
    pub left: f64,
    /// Calls a second that it allows; 0 where there is none.
    pub limit: f64,
}

impl LimitReport {
    /// Both as they were told. What is missing, or is no share or no rate, is none; a noisy share is at most one.
    pub fn told(left: Option<f64>, limit: Option<f64>) -> Option<LimitReport> {
        let sound = |value: &f64| value.is_finite() && *value >= 0.0;
        Some(LimitReport { left: left.filter(sound)?.min(1.0), limit: limit.filter(sound)? })
    }
}

/// What the list's weights are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    #[default]
    Untold,
    /// Calls a second that a route takes, up to half too high or too low.
    RoughRates,
    /// The same, as it is on a usual day.
    Rates,
}

/// How the list of targets speaks of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Active,
    Leaving,
    Gone,
}

/// A dispatch that was begun before this start of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Past {
    pub target: TargetId,
    pub sent: Duration,
    /// It is known to have ended, in a way that proves that it had no effect.
    pub never_ran: bool,
}

/// What a list says of one target.
pub struct Listing<'a> {
    pub target: TargetId,
    pub destination: DestinationId,
    pub standing: Standing,
    pub weight: Option<f64>,
    pub zone: &'a str,
    pub kind: &'a str,
}

/// One category of envelopes, as agreed with the programs that hand them in.
#[derive(Default)]
pub struct CategoryTerms {
    pub name: String,
    pub effect: Option<Effect>,
    pub promised: Option<Duration>,
    pub outer_limit: Option<Duration>,
    pub credit: Option<f64>,
    pub late_credit: Option<f64>,
    pub ordered: bool,
}

/// What is agreed at start. The module derives its figures from it and does not keep it; absent means untold.
#[derive(Default)]
pub struct Terms {
    pub seed: u64,
    pub forwarders: Option<u64>,
    pub zone: String,
    pub categories: Vec<CategoryTerms>,
    /// Name, whether its targets are routes apart, most envelopes in a call.
    pub kinds: Vec<(String, bool, Option<u64>)>,
    /// Name and envelopes a second inside its share.
    pub tenants: Vec<(String, Option<f64>)>,
    pub over_share_credit: Option<f64>,
    pub halving: bool,
    pub slots: Option<u64>,
    pub room: Option<u64>,
    pub dispatch_cap: Option<u64>,
    pub may_duplicate: bool,
    /// Longest come-back time that programs heed; absent where none may be given.
    pub come_back: Option<Duration>,
    pub cold_from: Option<f64>,
    pub warm_within: Option<Duration>,
    pub fall_multiple: Option<f64>,
    pub tip_after: Option<Duration>,
    pub key_rest: Option<Duration>,
    /// The list comes only when asked for, and must be asked for within this time.
    pub ask_within: Option<Duration>,
    pub weights: Weights,
    /// Answers tell of the limit of their route, where it has one.
    pub answers_report: bool,
    /// How long an idle connection is kept.
    pub connection_idle: Option<Duration>,
    /// Prices of one dispatch that crosses zones, of one new connection, and of what routes apart take on, by
    /// zone.
    pub cross_zone_price: Option<f64>,
    pub connection_price: Option<f64>,
    pub zone_fees: Vec<(String, f64)>,
}

/// What a dispatch travels in, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spans {
    /// No dispatch of another call travels with it, as that one may end at another time.
    pub call: CallNo,
    /// Its first byte leaves within this span or never; then it ends as one that did not. What was decided may not
    /// hold for longer: a receipt runs out, the program stops.
    pub begin_within: Duration,
    /// Its answer is waited for no longer.
    pub time_out: Duration,
}

/// What the module asks of the program that hosts it. All of it takes effect at the time of the call.
pub trait Host {
    fn dispatch(&mut self, envelope: &EnvelopeId, target: TargetId, spans: Spans);
    fn call_off(&mut self, envelope: &EnvelopeId, dispatch: DispatchNo);
    /// Final answer: handed back, and handing it in again is harmless.
    fn shed(&mut self, envelope: &EnvelopeId, come_back: Option<Duration>);
    /// Final answer: given up, with no promise about its effect.
    fn break_off(&mut self, envelope: &EnvelopeId);
    /// Have [`Forwarder::alarm`](crate::Forwarder::alarm) called once this span has passed.
    fn wake(&mut self, after: Duration);
    fn probe(&mut self, target: TargetId);
    fn tell(&mut self, peer: Option<PeerId>, note: &[u8]);
    fn subscribe(&mut self, on: bool);
    fn fetch_list(&mut self);
    fn log(&mut self, line: &str);
}
