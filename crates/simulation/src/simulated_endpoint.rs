//! True state of a simulated endpoint: queue, requests in service, connections, active faults, slow start
//! after an outage and overload. An endpoint is cold during its slow start, and warm otherwise.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{EndpointIndex, ForwarderIndex, RequestIndex};
use crate::layout::EndpointPlan;
use crate::limit::RequestLimit;
pub use crate::observed::OutageCause;
use crate::observed::Recovery;
use crate::received_work::ReceivedWork;
use crate::scenario::RecoverySettings;

/// Minimum share of the capacity that a cold endpoint has, so that its work ends in finite time.
const MIN_WARMTH: f64 = 0.01;
/// Minimum duration of the slow start, which prevents a division by zero.
const MIN_SLOW_START_S: f64 = 1e-6;

/// Returns the work within the overload window above which a cold endpoint is overloaded: `allowed` plus a
/// margin of `2 * sqrt(allowed) + 2` for random variation, over all forwarders together.
pub fn overload_budget(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.max(0.0).sqrt() + 2.0
}

/// True state of one endpoint.
pub struct SimulatedEndpoint {
    pub(crate) plan: EndpointPlan,
    /// Usage of the endpoint's own request limit.
    pub(crate) limit: RequestLimit,
    pub(crate) busy_workers: usize,
    pub(crate) queue: VecDeque<RequestIndex>,
    pub(crate) serving: Vec<RequestIndex>,
    /// Requests accepted while a fault makes the endpoint hang.
    pub(crate) hung_requests: Vec<RequestIndex>,
    /// Requests whose responses are withheld while a fault makes the endpoint hang.
    pub(crate) hung_responses: Vec<RequestIndex>,
    /// Active faults, by index in the scenario.
    pub(crate) active_faults: Vec<usize>,
    /// Number of active causes of an outage: faults that count as outages, and an overload.
    pub(crate) active_outages: u32,
    /// End of the latest outage that has ended, since the start of the run; `None` if no outage has ended.
    recovered_at: Option<Duration>,
    /// All recoveries so far, each with the worst load after it.
    pub(crate) recoveries: Vec<Recovery>,
    pub(crate) down_since: Option<Duration>,
    pub(crate) overloaded_until: Option<Duration>,
    /// Whether the endpoint was replaced, or drained and removed; all connections are refused then.
    pub(crate) removed: bool,
    /// Work received in the overload window; kept while the endpoint is cold.
    recent_work: VecDeque<ReceivedWork>,
    /// Incremented when all connections are reset; requests and work of an earlier incarnation are ignored.
    pub(crate) incarnation: u32,
    /// Number of requests that were sent and have not arrived yet.
    pub(crate) in_transit: u32,
    /// Number of open connections, idle ones included.
    pub(crate) connections: u32,
    /// Idle connections by forwarder, each as the time since which it is idle.
    pub(crate) idle_connections: BTreeMap<ForwarderIndex, Vec<Duration>>,
}

/// Work that a cold endpoint received in the current overload window, and the work allowed in it.
pub(crate) struct WarmUpWindow<'a> {
    pub(crate) received: &'a VecDeque<ReceivedWork>,
    /// Sum of the received work, in requests of one message.
    pub(crate) total: f64,
    /// Work that the settings allow in the window, without the margin for random variation.
    pub(crate) allowed: f64,
}

/// Work that overloaded a cold endpoint.
pub struct Overload {
    /// Work received in the overload window, oldest first.
    pub received: Vec<ReceivedWork>,
    /// Value of [`overload_budget`] at the time of the overload.
    pub budget: f64,
}

impl SimulatedEndpoint {
    /// Creates an endpoint that is up, warm and idle.
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

    /// Records the end of an outage; the endpoint is cold and starts to warm up.
    pub fn recover(&mut self, now: Duration, cause: OutageCause) {
        self.recovered_at = Some(now);
        self.recoveries.push(Recovery::new(now, cause));
    }

    /// Returns the share of the capacity that the endpoint has now: 1 once it is warm.
    pub(crate) fn warmth(&self, now: Duration, settings: &RecoverySettings) -> f64 {
        let Some(recovered_at) = self.recovered_at else { return 1.0 };
        let floor = settings.slow_start_floor.get().max(MIN_WARMTH);
        let elapsed = now.saturating_sub(recovered_at).as_secs_f64();
        let warmed = elapsed / settings.slow_start_duration.seconds().max(MIN_SLOW_START_S);
        (floor + (1.0 - floor) * warmed).min(1.0)
    }

    pub(crate) fn is_overloaded(&self, now: Duration) -> bool {
        self.overloaded_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_down(&self) -> bool {
        self.active_outages > 0
    }

    /// Returns the number of requests in transit, queued and in service.
    pub(crate) fn unfinished_requests(&self) -> usize {
        self.busy_workers + self.queue.len() + self.in_transit as usize
    }

    /// Returns the work that the settings allow within the overload window at the current warmth.
    fn allowed_work(&self, now: Duration, settings: &RecoverySettings) -> f64 {
        let window = settings.overload_window.seconds();
        settings.overload_capacity_multiple.get()
            * self.warmth(now, settings)
            * self.plan.capacity_per_s
            * window
    }

    /// Returns the work that the settings still allow in the overload window; [`f64::MAX`] once warm.
    pub(crate) fn remaining_allowance(&self, now: Duration, settings: &RecoverySettings) -> f64 {
        if self.warmth(now, settings) >= 1.0 {
            return f64::MAX;
        }
        let in_window =
            self.recent_work.iter().filter(|work| now.saturating_sub(work.at) <= settings.overload_window.0);
        self.allowed_work(now, settings) - ReceivedWork::total(in_window)
    }

    /// Returns the received and the allowed work of the overload window; `None` once the endpoint is warm.
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

    /// Records received work. Returns the overload if the endpoint is cold and the work in the overload
    /// window exceeds the [budget](overload_budget).
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

    /// Resets all connections; returns the requests that were queued, in service or hanging.
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

    /// Closes connections that have been idle since before `since`.
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

/// True state of a destination.
pub(crate) struct SimulatedDestination {
    /// Usage of the request limit that the endpoints share.
    pub(crate) limit: RequestLimit,
    /// Endpoints of the destination, replacements included.
    pub(crate) endpoints: Vec<EndpointIndex>,
}
