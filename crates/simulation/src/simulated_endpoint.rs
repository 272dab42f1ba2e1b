//! One endpoint as it really is: its queue, its work, its faults, how far it has warmed up after an outage, and
//! whether it is overloaded.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{EndpointIndex, ForwarderIndex, RequestIndex};
use crate::layout::EndpointPlan;
use crate::limit::RequestLimit;
pub use crate::observed::OutageCause;
use crate::observed::Recovery;
use crate::received_work::ReceivedWork;
use crate::scenario::RecoverySettings;

/// Least warmth of an endpoint, so that slow work ends.
const MIN_WARMTH: f64 = 0.01;
/// Guards the division by the slow start's duration, in seconds.
const MIN_SLOW_START: f64 = 1e-6;

/// Work within the overload window above which a cold endpoint is overloaded, from what the settings allow in it:
/// N + 2 * sqrt(N) + 2. The excess over N is for chance, and is counted over all forwarders together.
pub fn overload_budget(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.max(0.0).sqrt() + 2.0
}

/// The state of one endpoint.
pub struct SimulatedEndpoint {
    pub(crate) plan: EndpointPlan,
    /// What is left of its own limit.
    pub(crate) limit: RequestLimit,
    pub(crate) busy_workers: usize,
    pub(crate) queue: VecDeque<RequestIndex>,
    pub(crate) serving: Vec<RequestIndex>,
    /// Accepted while it hangs.
    pub(crate) hung_requests: Vec<RequestIndex>,
    /// Responses that wait until it no longer hangs.
    pub(crate) hung_responses: Vec<RequestIndex>,
    /// Faults that affect it now, by their place in the scenario.
    pub(crate) active_faults: Vec<usize>,
    /// Outages among these, overload counted.
    pub(crate) active_outages: u32,
    /// End of its last outage.
    recovered_at: Option<Duration>,
    /// All recoveries so far, each with what the endpoint was sent after it.
    pub(crate) recoveries: Vec<Recovery>,
    pub(crate) down_since: Option<Duration>,
    pub(crate) overloaded_until: Option<Duration>,
    /// Replaced by another endpoint, or drained and removed: it refuses all connections.
    pub(crate) removed: bool,
    /// What it was sent in the overload window, while it is cold.
    recent_work: VecDeque<ReceivedWork>,
    /// Raised when all connections are reset: requests and work of an earlier incarnation are void.
    pub(crate) incarnation: u32,
    /// Requests that were sent and have not arrived.
    pub(crate) in_transit: u32,
    /// Connections that it counts, idle ones among them.
    pub(crate) connections: u32,
    /// Idle connections by forwarder, each with the time since when.
    pub(crate) idle_connections: BTreeMap<ForwarderIndex, Vec<Duration>>,
}

/// What a cold endpoint was sent in the overload window.
pub(crate) struct WarmUpWindow<'a> {
    pub(crate) received: &'a VecDeque<ReceivedWork>,
    /// Sum of it, in requests of one message.
    pub(crate) total: f64,
    /// What the settings allow in that window, without what is left to chance.
    pub(crate) allowed: f64,
}

/// What a cold endpoint was sent when that overloaded it.
pub struct Overload {
    /// The work in the window, oldest first.
    pub received: Vec<ReceivedWork>,
    /// [`overload_budget`] at that time.
    pub budget: f64,
}

impl SimulatedEndpoint {
    /// An endpoint that is up, warm and idle.
    pub fn new(plan: EndpointPlan) -> SimulatedEndpoint {
        SimulatedEndpoint {
            limit: plan.limit.clone(),
            plan,
            busy_workers: 0,
            queue: VecDeque::new(),
            serving: Vec::new(),
            hung_requests: Vec::new(),
            hung_responses: Vec::new(),
            active_faults: Vec::new(),
            active_outages: 0,
            recovered_at: None,
            recoveries: Vec::new(),
            down_since: None,
            overloaded_until: None,
            removed: false,
            recent_work: VecDeque::new(),
            incarnation: 0,
            in_transit: 0,
            connections: 0,
            idle_connections: BTreeMap::new(),
        }
    }

    /// Ends the outage: the endpoint is cold, and starts to warm up.
    pub fn recover(&mut self, now: Duration, cause: OutageCause) {
        self.recovered_at = Some(now);
        self.recoveries.push(Recovery::new(now, cause));
    }

    /// Share of its capacity that it has now.
    pub(crate) fn warmth(&self, now: Duration, settings: &RecoverySettings) -> f64 {
        let Some(recovered_at) = self.recovered_at else { return 1.0 };
        let floor = settings.slow_start_floor.get().max(MIN_WARMTH);
        let elapsed = now.saturating_sub(recovered_at).as_secs_f64();
        let warmed = elapsed / settings.slow_start_duration.seconds().max(MIN_SLOW_START);
        (floor + (1.0 - floor) * warmed).min(1.0)
    }

    pub(crate) fn is_overloaded(&self, now: Duration) -> bool {
        self.overloaded_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_down(&self) -> bool {
        self.active_outages > 0
    }

    /// Requests that it has accepted and not finished, or that are on their way to it.
    pub(crate) fn unfinished_requests(&self) -> usize {
        self.busy_workers + self.queue.len() + self.in_transit as usize
    }

    /// Work that the settings allow within the overload window, as warm as it is now.
    fn allowed_work(&self, now: Duration, settings: &RecoverySettings) -> f64 {
        let window = settings.overload_window.seconds();
        settings.overload_capacity_multiple.get()
            * self.warmth(now, settings)
            * self.plan.capacity_per_s
            * window
    }

    /// Work that the settings still allow now.
    pub(crate) fn remaining_allowance(&self, now: Duration, settings: &RecoverySettings) -> f64 {
        if self.warmth(now, settings) >= 1.0 {
            return f64::MAX;
        }
        let in_window =
            self.recent_work.iter().filter(|work| now.saturating_sub(work.at) <= settings.overload_window.0);
        self.allowed_work(now, settings) - ReceivedWork::total(in_window)
    }

    /// What it was sent in the overload window, with what is allowed in it now; absent once it is warm.
    pub(crate) fn warm_up_window(
        &self,
        now: Duration,
        settings: &RecoverySettings,
    ) -> Option<WarmUpWindow<'_>> {
        if self.warmth(now, settings) >= 1.0 {
            return None;
        }
        let total = ReceivedWork::total(&self.recent_work);
        let allowed = self.allowed_work(now, settings);
        Some(WarmUpWindow { received: &self.recent_work, total, allowed })
    }

    /// Work has reached it. While it is cold, more than a multiple of what it can do within a window overloads it.
    #[must_use = "an endpoint that is overloaded goes down"]
    pub fn receive_work(
        &mut self,
        now: Duration,
        amount: f64,
        sender: ForwarderIndex,
        settings: &RecoverySettings,
    ) -> Option<Overload> {
        if self.warmth(now, settings) >= 1.0 {
            self.recent_work.clear();
            return None;
        }
        let window = settings.overload_window.0;
        self.recent_work.push_back(ReceivedWork { at: now, amount, sender });
        while self.recent_work.front().is_some_and(|work| now.saturating_sub(work.at) > window) {
            self.recent_work.pop_front();
        }
        let budget = overload_budget(self.allowed_work(now, settings));
        if ReceivedWork::total(&self.recent_work) <= budget {
            return None;
        }
        Some(Overload { received: self.recent_work.drain(..).collect(), budget })
    }

    /// All connections are reset; names the requests that were queued, served or hung.
    #[must_use = "the senders of these requests see the reset"]
    pub(crate) fn reset_connections(&mut self) -> Vec<RequestIndex> {
        self.incarnation += 1;
        self.connections = 0;
        self.idle_connections.clear();
        self.busy_workers = 0;
        let mut requests: Vec<RequestIndex> = self.queue.drain(..).collect();
        requests.append(&mut self.serving);
        requests.append(&mut self.hung_requests);
        requests.append(&mut self.hung_responses);
        requests
    }

    /// Closes connections that have been idle since before this time.
    pub(crate) fn close_idle_before(&mut self, since: Duration) {
        let mut closed = 0;
        self.idle_connections.retain(|_, times| {
            let before = times.len();
            times.retain(|idle_since| *idle_since >= since);
            closed += (before - times.len()) as u32;
            !times.is_empty()
        });
        self.release_connections(closed);
    }

    /// Closes all idle connections of a forwarder.
    pub(crate) fn close_idle_of(&mut self, forwarder: ForwarderIndex) {
        if let Some(idle) = self.idle_connections.remove(&forwarder) {
            self.release_connections(idle.len() as u32);
        }
    }

    pub(crate) fn release_connections(&mut self, count: u32) {
        self.connections = self.connections.saturating_sub(count);
    }
}

/// A destination's state beside its endpoints'.
pub(crate) struct SimulatedDestination {
    /// What is left of the limit that its endpoints share.
    pub(crate) limit: RequestLimit,
    /// Its endpoints, those that replaced others among them.
    pub(crate) endpoints: Vec<EndpointIndex>,
}
