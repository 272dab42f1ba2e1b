//! The text of a recording's lines. Its words are a format of their own and do not follow the names in the code, so
//! that recordings of older builds stay comparable (`docs/recordings.md` has the table).

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use reeddock::{
    AttemptOutcome, EndpointId, EndpointState, Idempotency, KeyScope, LateDecay, ListedWeights, MessageClass,
    PreviousAttempt, Settings,
};

use super::{PolicyCall, PolicyCommand, ReturnedValue};

/// A span since the start, in seconds with nine decimals: no digit of it is lost.
struct Seconds(Duration);

impl Display for Seconds {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        write!(to, "{}.{:09}", self.0.as_secs(), self.0.subsec_nanos())
    }
}

/// A value that may be absent, which is written as `-`.
struct OrDash<T>(Option<T>);

impl<T: Display> Display for OrDash<T> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(to),
            None => to.write_str("-"),
        }
    }
}

struct EndpointSet<'a>(&'a [EndpointId]);

impl Display for EndpointSet<'_> {
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
                write!(to, "full wait={}", OrDash(wait.map(Seconds)))
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

/// The settings that a policy starts with.
struct SettingsText<'a>(&'a Settings);

impl Display for SettingsText<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        write_limits(self.0, to)?;
        write_slow_start(self.0, to)?;
        write_discovery_and_prices(self.0, to)?;
        self.0.classes.iter().try_for_each(|class| write_class(class, to))
    }
}

fn span(span: Option<Duration>) -> OrDash<Seconds> {
    OrDash(span.map(Seconds))
}

fn write_limits(settings: &Settings, to: &mut Formatter) -> fmt::Result {
    write!(to, "seed={} forwarders={}", settings.seed, OrDash(settings.forwarders))?;
    write!(to, " zone={:?} slots={}", settings.zone, OrDash(settings.max_in_flight))?;
    write!(to, " room={} cap={}", OrDash(settings.capacity), OrDash(settings.max_attempts))?;
    let halving = settings.late_decay == LateDecay::Exponential;
    write!(to, " halving={halving} may_duplicate={}", settings.hedging_allowed)?;
    write!(to, " over_share_credit={}", OrDash(settings.over_quota_weight))?;
    write!(to, " come_back={}", span(settings.max_retry_after))
}

fn write_slow_start(settings: &Settings, to: &mut Formatter) -> fmt::Result {
    write!(to, " warm_within={}", span(settings.slow_start_duration))?;
    write!(to, " cold_from={}", OrDash(settings.slow_start_floor))?;
    write!(to, " fall_multiple={}", OrDash(settings.overload_multiple))?;
    write!(to, " tip_after={}", span(settings.overload_window))?;
    write!(to, " key_rest={}", span(settings.ordering_hold_off))
}

fn write_discovery_and_prices(settings: &Settings, to: &mut Formatter) -> fmt::Result {
    write!(to, " ask_within={}", span(settings.poll_interval_limit))?;
    write!(to, " idle={}", span(settings.connection_idle_timeout))?;
    write!(to, " weights={}", WeightsText(settings.listed_weights))?;
    write!(to, " answers_report={}", settings.responses_carry_load_reports)?;
    write!(to, " cross_zone={}", OrDash(settings.cross_zone_price))?;
    write!(to, " connection={}", OrDash(settings.connection_price))?;
    let zone_fees: Vec<_> = settings.zone_fees.iter().map(|z| (&z.zone, z.fee)).collect();
    let kinds = settings.endpoint_kinds.iter();
    let kinds: Vec<_> = kinds.map(|k| (&k.name, k.circuit_per_endpoint, k.max_batch)).collect();
    let tenants: Vec<_> = settings.tenants.iter().map(|t| (&t.tenant, t.messages_per_second)).collect();
    write!(to, " zone_fees={zone_fees:?} kinds={kinds:?} tenants={tenants:?}")
}

fn write_class(class: &MessageClass, to: &mut Formatter) -> fmt::Result {
    write!(to, " category={:?} effect={}", class.name, IdempotencyText(class.idempotency))?;
    write!(to, " ordered={} promised={}", class.ordered, span(class.latency_objective))?;
    write!(to, " outer_limit={}", span(class.deadline))?;
    write!(to, " credit={}", OrDash(class.priority_weight))?;
    write!(to, " late_credit={}", OrDash(class.late_weight))
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
        let previous = self.0;
        write!(
            to,
            " past={}@{}/{}",
            previous.endpoint.0,
            Seconds(previous.started_at),
            previous.proves_not_executed
        )
    }
}

impl Display for PolicyCall<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("calls ")?;
        match self {
            PolicyCall::Open { now, settings } => {
                write!(to, "open now={} {}", Seconds(*now), SettingsText(settings))
            }
            PolicyCall::BeginEndpointList { whole } => write!(to, "list_begins whole={whole}"),
            PolicyCall::UpdateEndpoint(line) => {
                let (endpoint, destination) = (line.endpoint.0, line.destination.0);
                write!(to, "listed target={endpoint} destination={destination} {}", state_word(line.state))?;
                write!(to, " weight={} zone={:?} kind={:?}", OrDash(line.weight), line.zone, line.kind)
            }
            PolicyCall::FinishEndpointList => to.write_str("list_ends"),
            PolicyCall::AbortEndpointList => to.write_str("list_broken"),
            PolicyCall::DiscoveryFailed { now } => write!(to, "list_failed now={}", Seconds(*now)),
            PolicyCall::Submit { now, id, class, tenant, key, deadline, destination } => {
                write!(to, "hand_in now={} id={:?} category={class:?}", Seconds(*now), id.0)?;
                write!(to, " tenant={} key={}", OrDash(*tenant), OrDash(key.map(|k| k.0)))?;
                write!(to, " outer_limit={} destination={}", Seconds(*deadline), destination.0)
            }
            PolicyCall::Restore { now, id, previous } => {
                write!(to, "recall now={} id={:?}", Seconds(*now), id.0)?;
                previous.iter().try_for_each(|p| PastText(p).fmt(to))
            }
            PolicyCall::AttemptFinished { now, id, number, outcome, finished } => {
                write!(to, "settled now={} id={:?} no={} over={finished}", Seconds(*now), id.0, number.0)?;
                write!(to, " outcome={}", OutcomeText(*outcome))
            }
            PolicyCall::LoadReported { endpoint, report } => {
                write!(to, "reported target={} left={} limit={}", endpoint.0, report.left, report.limit)
            }
            PolicyCall::RetryAfterReceived { now, endpoint, wait } => {
                write!(to, "told_to_wait now={} target={} wait={}", Seconds(*now), endpoint.0, Seconds(*wait))
            }
            PolicyCall::Withdraw { id } => write!(to, "end id={:?}", id.0),
            PolicyCall::BeginShutdown { by } => write!(to, "leaving by={}", Seconds(*by)),
            PolicyCall::TimerFired { now } => write!(to, "alarm now={}", Seconds(*now)),
            PolicyCall::HealthChecked { now, endpoint, healthy } => {
                write!(to, "probed now={} target={} well={healthy}", Seconds(*now), endpoint.0)
            }
            PolicyCall::GossipReceived { now, from, gossip } => {
                write!(to, "told now={} from={} note={}", Seconds(*now), from.0, Hex(gossip))
            }
            PolicyCall::RunDueWork { now } => write!(to, "turn now={}", Seconds(*now)),
        }
    }
}

impl Display for PolicyCommand<'_> {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("asks ")?;
        match self {
            PolicyCommand::StartAttempt { id, endpoint, timeouts } => {
                write!(to, "dispatch id={:?} target={} call={}", id.0, endpoint.0, timeouts.request.0)?;
                let (begin, end) = (Seconds(timeouts.start_within), Seconds(timeouts.response_within));
                write!(to, " begin_within={begin} time_out={end}")
            }
            PolicyCommand::Cancel { id, number } => write!(to, "call_off id={:?} no={}", id.0, number.0),
            PolicyCommand::Reject { id, retry_after } => {
                write!(to, "shed id={:?} come_back={}", id.0, OrDash(retry_after.map(Seconds)))
            }
            PolicyCommand::Fail { id } => write!(to, "break_off id={:?}", id.0),
            PolicyCommand::SetTimer { after } => write!(to, "wake after={}", Seconds(*after)),
            PolicyCommand::StartHealthCheck { endpoint } => write!(to, "probe target={}", endpoint.0),
            PolicyCommand::SendGossip { peer, gossip } => {
                write!(to, "tell peer={} note={}", OrDash(peer.map(|p| p.0)), Hex(gossip))
            }
            PolicyCommand::Subscribe { on } => write!(to, "subscribe on={on}"),
            PolicyCommand::FetchEndpointList => to.write_str("fetch_list"),
            PolicyCommand::Log { line } => write!(to, "log line={line:?}"),
        }
    }
}

impl Display for ReturnedValue {
    fn fmt(&self, to: &mut Formatter) -> fmt::Result {
        to.write_str("returns ")?;
        match self {
            ReturnedValue::DroppedEndpoints(endpoints) => {
                write!(to, "dropped targets={}", EndpointSet(endpoints))
            }
            ReturnedValue::RemovedEndpoints(endpoints) => {
                write!(to, "forgotten targets={}", EndpointSet(endpoints))
            }
            ReturnedValue::EndpointsSharingCircuit(endpoint, with) => {
                write!(to, "waits_with target={} targets={}", endpoint.0, EndpointSet(with))
            }
            ReturnedValue::AttemptEndpoint(id, number, endpoint) => {
                write!(to, "sent_to id={:?} no={} target={}", id.0, number.0, OrDash(endpoint.map(|t| t.0)))
            }
            ReturnedValue::KnowsDestination(destination, known) => {
                write!(to, "knows destination={} {known}", destination.0)
            }
        }
    }
}
