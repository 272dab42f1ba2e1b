//! The lines of a recording as typed values, and their text. The text is made of the public values of the delivery policy's
//! interface, field by field, so that it stays the same when the inside of the delivery policy changes.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointState, EndpointUpdate,
    Idempotency, KeyScope, LateDecay, ListedWeights, LoadReport, MessageId, OrderingKey, PeerId,
    PreviousAttempt, Settings,
};

/// A call into the delivery policy, with all its arguments.
pub enum Input<'a> {
    Open {
        now: Duration,
        terms: &'a Settings,
    },
    ListBegins {
        whole: bool,
    },
    EndpointUpdated(&'a EndpointUpdate<'a>),
    ListEnds,
    ListBroken,
    ListFailed {
        now: Duration,
    },
    Submission {
        now: Duration,
        id: &'a MessageId,
        class: &'a str,
        tenant: Option<&'a str>,
        key: Option<OrderingKey>,
        deadline: Duration,
        destination: DestinationId,
    },
    Recall {
        now: Duration,
        id: &'a MessageId,
        past: &'a [PreviousAttempt],
    },
    Settled {
        now: Duration,
        id: &'a MessageId,
        no: AttemptNumber,
        outcome: AttemptOutcome,
        over: bool,
    },
    Reported {
        endpoint: EndpointId,
        report: LoadReport,
    },
    ToldToWait {
        now: Duration,
        endpoint: EndpointId,
        wait: Duration,
    },
    Withdrawn {
        id: &'a MessageId,
    },
    Leaving {
        by: Duration,
    },
    Alarm {
        now: Duration,
    },
    Probed {
        now: Duration,
        endpoint: EndpointId,
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

/// A request of the delivery policy to its host.
pub enum Request<'a> {
    Attempt { id: &'a MessageId, endpoint: EndpointId, spans: AttemptTimeouts },
    CallOff { id: &'a MessageId, no: AttemptNumber },
    Shed { id: &'a MessageId, retry_after: Option<Duration> },
    BreakOff { id: &'a MessageId },
    Wake { after: Duration },
    Probe { endpoint: EndpointId },
    Tell { peer: Option<PeerId>, note: &'a [u8] },
    Subscribe { on: bool },
    FetchList,
    Log { line: &'a str },
}

/// What a method of the delivery policy returned. Endpoints come in the order of their numbers, as the interface promises
/// no order.
pub enum Returned {
    /// Endpoints that a whole list no longer named.
    Dropped(Vec<EndpointId>),
    /// Endpoints that the delivery policy has dropped from its memory.
    Forgotten(Vec<EndpointId>),
    WaitsWith(EndpointId, Vec<EndpointId>),
    SentTo(MessageId, AttemptNumber, Option<EndpointId>),
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

struct Endpoints<'a>(&'a [EndpointId]);

impl Display for Endpoints<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("[")?;
        for (n, endpoint) in self.0.iter().enumerate() {
            let comma = if n == 0 { "" } else { "," };
            write!(to, "{comma}{}", endpoint.0)?;
        }
        to.write_str("]")
    }
}

struct OutcomeText(AttemptOutcome);

impl Display for OutcomeText {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        match self.0 {
            AttemptOutcome::Completed => to.write_str("completed"),
            AttemptOutcome::Error => to.write_str("error"),
            AttemptOutcome::Rejected { retry_after: wait } => {
                write!(to, "full wait={}", Maybe(wait.map(Seconds)))
            }
            AttemptOutcome::TimedOut => to.write_str("timed_out"),
            AttemptOutcome::NoConnection => to.write_str("no_connection"),
            AttemptOutcome::ConnectionReset => to.write_str("broken"),
            AttemptOutcome::Cancelled => to.write_str("called_off"),
            AttemptOutcome::NotSent => to.write_str("unsent"),
            AttemptOutcome::Malformed => to.write_str("unreadable"),
        }
    }
}

fn state_word(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Active => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "gone",
    }
}

/// Bytes as hexadecimal digits.
struct Hex<'a>(&'a [u8]);

impl Display for Hex<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(to, "{byte:02x}"))
    }
}

struct TermsText<'a>(&'a Settings);

impl Display for TermsText<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        let t = self.0;
        let span = |span: Option<Duration>| Maybe(span.map(Seconds));
        write!(to, "seed={} forwarders={} zone={:?}", t.seed, Maybe(t.forwarders), t.zone)?;
        write!(
            to,
            " slots={} room={} cap={}",
            Maybe(t.max_in_flight),
            Maybe(t.capacity),
            Maybe(t.max_attempts)
        )?;
        write!(
            to,
            " halving={} may_duplicate={}",
            t.late_decay == LateDecay::Exponential,
            t.hedging_allowed
        )?;
        write!(to, " over_share_credit={}", Maybe(t.over_quota_weight))?;
        write!(to, " come_back={} warm_within={}", span(t.max_retry_after), span(t.slow_start_duration))?;
        write!(to, " cold_from={} fall_multiple={}", Maybe(t.slow_start_floor), Maybe(t.overload_multiple))?;
        write!(to, " tip_after={} key_rest={}", span(t.overload_window), span(t.ordering_hold_off))?;
        write!(to, " ask_within={} idle={}", span(t.poll_interval_limit), span(t.connection_idle_timeout))?;
        write!(
            to,
            " weights={} answers_report={}",
            WeightsText(t.listed_weights),
            t.responses_carry_load_reports
        )?;
        write!(to, " cross_zone={} connection={}", Maybe(t.cross_zone_price), Maybe(t.connection_price))?;
        let zone_fees: Vec<_> = t.zone_fees.iter().map(|z| (&z.zone, z.fee)).collect();
        let kinds: Vec<_> =
            t.endpoint_kinds.iter().map(|k| (&k.name, k.circuit_per_endpoint, k.max_batch)).collect();
        let tenants: Vec<_> = t.tenants.iter().map(|t| (&t.tenant, t.messages_per_second)).collect();
        write!(to, " zone_fees={zone_fees:?} kinds={kinds:?} tenants={tenants:?}")?;
        for c in &t.classes {
            write!(
                to,
                " category={:?} effect={} ordered={}",
                c.name,
                IdempotencyText(c.idempotency),
                c.ordered
            )?;
            write!(to, " promised={} outer_limit={}", span(c.latency_objective), span(c.deadline))?;
            write!(to, " credit={} late_credit={}", Maybe(c.priority_weight), Maybe(c.late_weight))?;
        }
        Ok(())
    }
}

/// The words of the recording format for what listed weights mean.
struct WeightsText(ListedWeights);

impl Display for WeightsText {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str(match self.0 {
            ListedWeights::Unspecified => "Untold",
            ListedWeights::ApproximateRates => "RoughRates",
            ListedWeights::Rates => "Rates",
        })
    }
}

/// The words of the recording format for the idempotency of a class.
struct IdempotencyText(Option<Idempotency>);

impl Display for IdempotencyText {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        match self.0 {
            None => to.write_str("None"),
            Some(Idempotency::Idempotent) => to.write_str("Some(Pure)"),
            Some(Idempotency::NonIdempotent) => to.write_str("Some(Effectful)"),
            Some(Idempotency::WithKey { window, scope }) => {
                let group = match scope {
                    KeyScope::Region => "All",
                    KeyScope::Zone => "Zone",
                };
                write!(to, "Some(Receipted {{ window: {window:?}, group: {group} }})")
            }
        }
    }
}

struct PastText<'a>(&'a PreviousAttempt);

impl Display for PastText<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        let past = self.0;
        write!(to, " past={}@{}/{}", past.endpoint.0, Seconds(past.started_at), past.proves_not_executed)
    }
}

impl Display for Input<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("calls ")?;
        match self {
            Input::Open { now, terms } => write!(to, "open now={} {}", Seconds(*now), TermsText(terms)),
            Input::ListBegins { whole } => write!(to, "list_begins whole={whole}"),
            Input::EndpointUpdated(line) => {
                let (endpoint, destination) = (line.endpoint.0, line.destination.0);
                write!(to, "listed target={endpoint} destination={destination} {}", state_word(line.state))?;
                write!(to, " weight={} zone={:?} kind={:?}", Maybe(line.weight), line.zone, line.kind)
            }
            Input::ListEnds => to.write_str("list_ends"),
            Input::ListBroken => to.write_str("list_broken"),
            Input::ListFailed { now } => write!(to, "list_failed now={}", Seconds(*now)),
            Input::Submission { now, id, class, tenant, key, deadline, destination } => {
                write!(to, "hand_in now={} id={:?} category={class:?}", Seconds(*now), id.0)?;
                write!(to, " tenant={} key={}", Maybe(*tenant), Maybe(key.map(|k| k.0)))?;
                write!(to, " outer_limit={} destination={}", Seconds(*deadline), destination.0)
            }
            Input::Recall { now, id, past } => {
                write!(to, "recall now={} id={:?}", Seconds(*now), id.0)?;
                past.iter().try_for_each(|p| PastText(p).fmt(to))
            }
            Input::Settled { now, id, no, outcome, over } => {
                write!(to, "settled now={} id={:?} no={} over={over}", Seconds(*now), id.0, no.0)?;
                write!(to, " outcome={}", OutcomeText(*outcome))
            }
            Input::Reported { endpoint, report } => {
                write!(to, "reported target={} left={} limit={}", endpoint.0, report.left, report.limit)
            }
            Input::ToldToWait { now, endpoint, wait } => {
                write!(to, "told_to_wait now={} target={} wait={}", Seconds(*now), endpoint.0, Seconds(*wait))
            }
            Input::Withdrawn { id } => write!(to, "end id={:?}", id.0),
            Input::Leaving { by } => write!(to, "leaving by={}", Seconds(*by)),
            Input::Alarm { now } => write!(to, "alarm now={}", Seconds(*now)),
            Input::Probed { now, endpoint, well } => {
                write!(to, "probed now={} target={} well={well}", Seconds(*now), endpoint.0)
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
            Request::Attempt { id, endpoint, spans } => {
                write!(to, "dispatch id={:?} target={} call={}", id.0, endpoint.0, spans.request.0)?;
                let (begin, end) = (Seconds(spans.start_within), Seconds(spans.response_within));
                write!(to, " begin_within={begin} time_out={end}")
            }
            Request::CallOff { id, no } => write!(to, "call_off id={:?} no={}", id.0, no.0),
            Request::Shed { id, retry_after } => {
                write!(to, "shed id={:?} come_back={}", id.0, Maybe(retry_after.map(Seconds)))
            }
            Request::BreakOff { id } => write!(to, "break_off id={:?}", id.0),
            Request::Wake { after } => write!(to, "wake after={}", Seconds(*after)),
            Request::Probe { endpoint } => write!(to, "probe target={}", endpoint.0),
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
            Returned::Dropped(endpoints) => write!(to, "dropped targets={}", Endpoints(endpoints)),
            Returned::Forgotten(endpoints) => write!(to, "forgotten targets={}", Endpoints(endpoints)),
            Returned::WaitsWith(endpoint, with) => {
                write!(to, "waits_with target={} targets={}", endpoint.0, Endpoints(with))
            }
            Returned::SentTo(id, no, endpoint) => {
                write!(to, "sent_to id={:?} no={} target={}", id.0, no.0, Maybe(endpoint.map(|t| t.0)))
            }
            Returned::Knows(destination, known) => write!(to, "knows destination={} {known}", destination.0),
        }
    }
}
