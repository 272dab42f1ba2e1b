//! A simulated forwarder, which passes its events to a delivery policy.

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{DeliveryPolicy, EndpointId};
use reeddock_settings::{parse_policy_settings, LoadReportFields};
use serde_json::{Map, Value};

use crate::commands::Commands;
use crate::event::{parse_list_entry, FinishedAttempt, InstanceEvent};
use crate::AdapterError;

/// Endpoint lists by the number that they were registered under.
pub(crate) type RegisteredLists = BTreeMap<u64, Vec<Value>>;

/// A simulated forwarder.
pub(crate) struct Instance {
    policy: DeliveryPolicy,
    /// Positions of the values in load reports; `None` if responses carry no load reports.
    load_report_fields: Option<LoadReportFields>,
}

impl Instance {
    /// Creates a forwarder. Commands that the delivery policy gives at its start are added to `commands`.
    pub fn new(seed: u64, settings: &Map<String, Value>, now: Duration, commands: &mut Commands) -> Instance {
        Instance {
            policy: DeliveryPolicy::new(now, parse_policy_settings(seed, settings), commands),
            load_report_fields: LoadReportFields::from_settings(settings),
        }
    }

    /// Passes an event to the delivery policy.
    pub fn apply_event(
        &mut self,
        event: InstanceEvent,
        lists: &RegisteredLists,
        now: Duration,
        commands: &mut Commands,
    ) -> Result<(), AdapterError> {
        match event {
            InstanceEvent::DiscoveryFailed => self.policy.discovery_failed(now),
            InstanceEvent::EndpointList { is_full_list, list } => {
                let entries = lists.get(&list).ok_or(AdapterError::UnknownList(list))?;
                self.apply_endpoint_list(is_full_list, entries)?;
            }
            InstanceEvent::Submitted(message) => self.policy.submit(now, message, commands),
            InstanceEvent::AttemptFinished(attempt) => self.finish_attempt(&attempt, now, commands),
            InstanceEvent::Withdrawn(message) => self.policy.withdraw(&message, commands),
            InstanceEvent::TimerFired => self.policy.timer_fired(now),
            InstanceEvent::HealthChecked { endpoint, healthy, load_report } => {
                self.apply_load_report(endpoint, load_report);
                self.policy.health_checked(now, endpoint, healthy);
            }
            InstanceEvent::GossipReceived { peer, gossip } => self.policy.gossip_received(now, peer, &gossip),
            InstanceEvent::ResponseStarted { message, attempt } => {
                self.policy.response_started(now, &message, attempt, commands);
            }
        }
        Ok(())
    }

    /// Runs the due work of the delivery policy, which processes all events since the last run.
    pub fn run_due_work(&mut self, now: Duration, commands: &mut Commands) {
        self.policy.run_due_work(now, commands);
    }

    fn apply_endpoint_list(&mut self, is_full_list: bool, entries: &[Value]) -> Result<(), AdapterError> {
        self.policy.begin_endpoint_list(is_full_list);
        for entry in entries {
            self.policy.update_endpoint(parse_list_entry(entry)?);
        }
        self.policy.finish_endpoint_list();
        Ok(())
    }

    fn finish_attempt(&mut self, finished: &FinishedAttempt, now: Duration, commands: &mut Commands) {
        self.apply_load_report(finished.endpoint, finished.load_report);
        let ended = reeddock::FinishedAttempt {
            message: &finished.message,
            number: finished.attempt,
            outcome: finished.outcome,
            message_finished: finished.message_finished,
        };
        self.policy.attempt_finished(now, &ended, commands);
    }

    /// Passes the load report of a response to the delivery policy. Must be called before the outcome of the
    /// response is passed.
    fn apply_load_report(&mut self, endpoint: EndpointId, values: Option<&[Value]>) {
        let Some((fields, values)) = self.load_report_fields.zip(values) else { return };
        if let Some(report) = fields.parse_report(values) {
            self.policy.load_reported(endpoint, report);
        }
    }
}
