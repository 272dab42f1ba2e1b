//! The lines of a recording as typed values, and their text. The text is made of the public values of the module's
//! interface, field by field, so that it stays the same when the inside of the module changes.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use reeddock::{
    DestinationId, DispatchNo, EnvelopeId, KeyId, LimitReport, Listing, Outcome, Past, PeerId, Spans,
    Standing, TargetId, Terms,
};

/// A call into the module, with all its arguments.
pub enum Input<'a> {
    Open {
        now: Duration,
        terms: &'a Terms,
    },
    ListBegins {
        whole: bool,
    },
    Listed(&'a Listing<'a>),
    ListEnds,
    ListBroken,
    ListFailed {
        now: Duration,
    },
    HandIn {
        now: Duration,
        id: &'a EnvelopeId,
        category: &'a str,
        tenant: Option<&'a str>,
        key: Option<KeyId>,
        outer_limit: Duration,
        destination: DestinationId,
    },
    Recall {
        now: Duration,
        id: &'a EnvelopeId,
        past: &'a [Past],
    },
    Settled {
        now: Duration,
        id: &'a EnvelopeId,
        no: DispatchNo,
        outcome: Outcome,
        over: bool,
    },
    Reported {
        target: TargetId,
        report: LimitReport,
    },
    ToldToWait {
        now: Duration,
        target: TargetId,
        wait: Duration,
    },
    Withdrawn {
        id: &'a EnvelopeId,
    },
    Leaving {
        by: Duration,
    },
    Alarm {
        now: Duration,
    },
    Probed {
        now: Duration,
        target: TargetId,
        well: bool,
    },
    Told {
        now: Duration,
        from: PeerId,
        note: &'a [u8],
    },
    Turn {
        now: Duration,
    },
}

/// A request of the module to its host.
pub enum Request<'a> {
    Dispatch { id: &'a EnvelopeId, target: TargetId, spans: Spans },
    CallOff { id: &'a EnvelopeId, no: DispatchNo },
    Shed { id: &'a EnvelopeId, come_back: Option<Duration> },
    BreakOff { id: &'a EnvelopeId },
    Wake { after: Duration },
    Probe { target: TargetId },
    Tell { peer: Option<PeerId>, note: &'a [u8] },
    Subscribe { on: bool },
    FetchList,
    Log { line: &'a str },
}

/// What a method of the module returned. Targets come in the order of their numbers, as the interface promises
/// no order.
pub enum Returned {
    /// Targets that a whole list no longer named.
    Dropped(Vec<TargetId>),
    /// Targets that the module has dropped from its memory.
    Forgotten(Vec<TargetId>),
    WaitsWith(TargetId, Vec<TargetId>),
    SentTo(EnvelopeId, DispatchNo, Option<TargetId>),
    Knows(DestinationId, bool),
}

/// A span since the start, in seconds with nine decimals: no digit of it is lost.
struct Seconds(Duration);

impl Display for Seconds {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        write!(to, "{}.{:09}", self.0.as_secs(), self.0.subsec_nanos())
    }
}

/// A value that may be absent, which is written as `-`.
struct Maybe<T>(Option<T>);

impl<T: Display> Display for Maybe<T> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(to),
            None => to.write_str("-"),
        }
    }
}

struct Targets<'a>(&'a [TargetId]);

impl Display for Targets<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("[")?;
        for (n, target) in self.0.iter().enumerate() {
            let comma = if n == 0 { "" } else { "," };
            write!(to, "{comma}{}", target.0)?;
        }
        to.write_str("]")
    }
}

struct OutcomeText(Outcome);

impl Display for OutcomeText {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        match self.0 {
            Outcome::Completed => to.write_str("completed"),
            Outcome::Error => to.write_str("error"),
            Outcome::Full(wait) => write!(to, "full wait={}", Maybe(wait.map(Seconds))),
            Outcome::TimedOut => to.write_str("timed_out"),
            Outcome::NoConnection => to.write_str("no_connection"),
            Outcome::Broken => to.write_str("broken"),
            Outcome::CalledOff => to.write_str("called_off"),
            Outcome::Unsent => to.write_str("unsent"),
            Outcome::Unreadable => to.write_str("unreadable"),
        }
    }
}

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Active => "active",
        Standing::Leaving => "leaving",
        Standing::Gone => "gone",
    }
}

/// Bytes as hexadecimal digits.
struct Hex<'a>(&'a [u8]);

impl Display for Hex<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(to, "{byte:02x}"))
    }
}

struct TermsText<'a>(&'a Terms);

impl Display for TermsText<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        let t = self.0;
        let span = |span: Option<Duration>| Maybe(span.map(Seconds));
        write!(to, "seed={} forwarders={} zone={:?}", t.seed, Maybe(t.forwarders), t.zone)?;
        write!(to, " slots={} room={} cap={}", Maybe(t.slots), Maybe(t.room), Maybe(t.dispatch_cap))?;
        write!(to, " halving={} may_duplicate={}", t.halving, t.may_duplicate)?;
        write!(to, " over_share_credit={}", Maybe(t.over_share_credit))?;
        write!(to, " come_back={} warm_within={}", span(t.come_back), span(t.warm_within))?;
        write!(to, " cold_from={} fall_multiple={}", Maybe(t.cold_from), Maybe(t.fall_multiple))?;
        write!(to, " tip_after={} key_rest={}", span(t.tip_after), span(t.key_rest))?;
        write!(to, " ask_within={} idle={}", span(t.ask_within), span(t.connection_idle))?;
        write!(to, " weights={:?} answers_report={}", t.weights, t.answers_report)?;
        write!(to, " cross_zone={} connection={}", Maybe(t.cross_zone_price), Maybe(t.connection_price))?;
        write!(to, " zone_fees={:?} kinds={:?} tenants={:?}", t.zone_fees, t.kinds, t.tenants)?;
        for c in &t.categories {
            write!(to, " category={:?} effect={:?} ordered={}", c.name, c.effect, c.ordered)?;
            write!(to, " promised={} outer_limit={}", span(c.promised), span(c.outer_limit))?;
            write!(to, " credit={} late_credit={}", Maybe(c.credit), Maybe(c.late_credit))?;
        }
        Ok(())
    }
}

struct PastText<'a>(&'a Past);

impl Display for PastText<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        let past = self.0;
        write!(to, " past={}@{}/{}", past.target.0, Seconds(past.sent), past.never_ran)
    }
}

impl Display for Input<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("calls ")?;
        match self {
            Input::Open { now, terms } => write!(to, "open now={} {}", Seconds(*now), TermsText(terms)),
            Input::ListBegins { whole } => write!(to, "list_begins whole={whole}"),
            Input::Listed(line) => {
                let (target, destination) = (line.target.0, line.destination.0);
                write!(to, "listed target={target} destination={destination} {}", standing(line.standing))?;
                write!(to, " weight={} zone={:?} kind={:?}", Maybe(line.weight), line.zone, line.kind)
            }
            Input::ListEnds => to.write_str("list_ends"),
            Input::ListBroken => to.write_str("list_broken"),
            Input::ListFailed { now } => write!(to, "list_failed now={}", Seconds(*now)),
            Input::HandIn { now, id, category, tenant, key, outer_limit, destination } => {
                write!(to, "hand_in now={} id={:?} category={category:?}", Seconds(*now), id.0)?;
                write!(to, " tenant={} key={}", Maybe(*tenant), Maybe(key.map(|k| k.0)))?;
                write!(to, " outer_limit={} destination={}", Seconds(*outer_limit), destination.0)
            }
            Input::Recall { now, id, past } => {
                write!(to, "recall now={} id={:?}", Seconds(*now), id.0)?;
                past.iter().try_for_each(|p| PastText(p).fmt(to))
            }
            Input::Settled { now, id, no, outcome, over } => {
                write!(to, "settled now={} id={:?} no={} over={over}", Seconds(*now), id.0, no.0)?;
                write!(to, " outcome={}", OutcomeText(*outcome))
            }
            Input::Reported { target, report } => {
                write!(to, "reported target={} left={} limit={}", target.0, report.left, report.limit)
            }
            Input::ToldToWait { now, target, wait } => {
                write!(to, "told_to_wait now={} target={} wait={}", Seconds(*now), target.0, Seconds(*wait))
            }
            Input::Withdrawn { id } => write!(to, "end id={:?}", id.0),
            Input::Leaving { by } => write!(to, "leaving by={}", Seconds(*by)),
            Input::Alarm { now } => write!(to, "alarm now={}", Seconds(*now)),
            Input::Probed { now, target, well } => {
                write!(to, "probed now={} target={} well={well}", Seconds(*now), target.0)
            }
            Input::Told { now, from, note } => {
                write!(to, "told now={} from={} note={}", Seconds(*now), from.0, Hex(note))
            }
            Input::Turn { now } => write!(to, "turn now={}", Seconds(*now)),
        }
    }
}

impl Display for Request<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("asks ")?;
        match self {
            Request::Dispatch { id, target, spans } => {
                write!(to, "dispatch id={:?} target={} call={}", id.0, target.0, spans.call.0)?;
                let (begin, end) = (Seconds(spans.begin_within), Seconds(spans.time_out));
                write!(to, " begin_within={begin} time_out={end}")
            }
            Request::CallOff { id, no } => write!(to, "call_off id={:?} no={}", id.0, no.0),
            Request::Shed { id, come_back } => {
                write!(to, "shed id={:?} come_back={}", id.0, Maybe(come_back.map(Seconds)))
            }
            Request::BreakOff { id } => write!(to, "break_off id={:?}", id.0),
            Request::Wake { after } => write!(to, "wake after={}", Seconds(*after)),
            Request::Probe { target } => write!(to, "probe target={}", target.0),
            Request::Tell { peer, note } => {
                write!(to, "tell peer={} note={}", Maybe(peer.map(|p| p.0)), Hex(note))
            }
            Request::Subscribe { on } => write!(to, "subscribe on={on}"),
            Request::FetchList => to.write_str("fetch_list"),
            Request::Log { line } => write!(to, "log line={line:?}"),
        }
    }
}

impl Display for Returned {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("returns ")?;
        match self {
            Returned::Dropped(targets) => write!(to, "dropped targets={}", Targets(targets)),
            Returned::Forgotten(targets) => write!(to, "forgotten targets={}", Targets(targets)),
            Returned::WaitsWith(target, with) => {
                write!(to, "waits_with target={} targets={}", target.0, Targets(with))
            }
            Returned::SentTo(id, no, target) => {
                write!(to, "sent_to id={:?} no={} target={}", id.0, no.0, Maybe(target.map(|t| t.0)))
            }
            Returned::Knows(destination, known) => write!(to, "knows destination={} {known}", destination.0),
        }
    }
}
