//! What a destination takes from all forwarders together: a plain rate, or a count in a span.

use std::time::Duration;

/// Seconds of a plain rate that may come at once.
const AT_ONCE: f64 = 0.5;
/// Calls refused can use up so many spans ahead, and no more.
const USED_UP_AHEAD: f64 = 2.0;

#[derive(Clone, Debug)]
pub enum EndpointLimit {
    Open,
    /// Room for calls, filled at the rate; below zero where refused calls used it up.
    Rate {
        per_s: f64,
        most: f64,
        room: f64,
        since: Duration,
    },
    Span {
        count: f64,
        span: Duration,
        used: f64,
        begun: Duration,
    },
}

impl EndpointLimit {
    pub fn rate(per_s: f64) -> EndpointLimit {
        let most = (per_s * AT_ONCE).max(1.0);
        EndpointLimit::Rate { per_s, most, room: most, since: Duration::ZERO }
    }

    pub fn span(per_s: f64, span: Duration) -> EndpointLimit {
        let count = (per_s * span.as_secs_f64()).round().max(1.0);
        EndpointLimit::Span { count, span, used: 0.0, begun: Duration::ZERO }
    }

    /// Calls a second that pass in the long run; none: any number.
    pub fn per_s(&self) -> Option<f64> {
        match self {
            EndpointLimit::Open => None,
            EndpointLimit::Rate { per_s, .. } => Some(*per_s),
            EndpointLimit::Span { count, span, .. } => Some(count / span.as_secs_f64()),
        }
    }

    fn advance(&mut self, now: Duration) {
        match self {
            EndpointLimit::Open => {}
            EndpointLimit::Rate { per_s, most, room, since } => {
                *room = (*room + *per_s * now.saturating_sub(*since).as_secs_f64()).min(*most);
                *since = now;
            }
            EndpointLimit::Span { count, span, used, begun } => {
                let spans = now.saturating_sub(*begun).as_nanos() / span.as_nanos().max(1);
                if spans > 0 {
                    *begun += *span * u32::try_from(spans).unwrap_or(u32::MAX);
                    // What was used up beyond one span weighs on the next.
                    *used = (*used - *count * spans as f64).max(0.0);
                }
            }
        }
    }

    /// Calls that would pass now.
    pub fn room(&mut self, now: Duration) -> f64 {
        self.advance(now);
        match self {
            EndpointLimit::Open => f64::MAX,
            EndpointLimit::Rate { room, .. } => *room,
            EndpointLimit::Span { count, used, .. } => *count - *used,
        }
    }

    /// Lets a call pass, or says after how long there is room again.
    pub fn pass(&mut self, now: Duration, refused_use_up: bool) -> Result<(), Duration> {
        self.advance(now);
        match self {
            EndpointLimit::Open => Ok(()),
            EndpointLimit::Rate { per_s, room, most, .. } => {
                if *room >= 1.0 {
                    *room -= 1.0;
                    return Ok(());
                }
                if refused_use_up {
                    *room = (*room - 1.0).max(-USED_UP_AHEAD * *most);
                }
                Err(Duration::from_secs_f64((1.0 - *room) / *per_s))
            }
            EndpointLimit::Span { count, span, used, begun } => {
                if *used + 1.0 <= *count {
                    *used += 1.0;
                    return Ok(());
                }
                if refused_use_up {
                    *used = (*used + 1.0).min((1.0 + USED_UP_AHEAD) * *count);
                }
                let full_spans = (*used / *count).floor().max(1.0);
                Err((*begun + span.mul_f64(full_spans)).saturating_sub(now))
            }
        }
    }
}
