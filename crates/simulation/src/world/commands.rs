//! Commands of policies, and their execution by the simulated host.

use std::time::Duration;

use reeddock::{AttemptNumber, AttemptTimeouts, EndpointId, MessageId, PeerId, PolicyEvent, PolicyHost};

use super::attempts::OpenBatches;
use super::event::{Event, ForwarderInput};
use super::external_ids::{endpoint_index, message_index};
use super::records::AttemptRef;
use super::state::World;
use crate::fault::Fault;
use crate::ids::{EndpointIndex, ForwarderIndex, MessageIndex};
use crate::invariants::Rule;

enum HostCommand {
    StartAttempt { message: MessageId, endpoint: EndpointId, timeout: Duration },
    Cancel { message: MessageId, attempt: AttemptNumber },
    Reject { message: MessageId, retry_after: Option<Duration> },
    Fail { message: MessageId },
    SetTimer { after: Duration },
    StartHealthCheck { endpoint: EndpointId },
    SendGossip { to: Option<PeerId>, content: Vec<u8> },
    FetchEndpointList,
}

/// The commands of one policy run, in order.
#[derive(Default)]
pub(super) struct CommandBuffer(Vec<HostCommand>);

impl PolicyHost for CommandBuffer {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
        let timeout = timeouts.response_within;
        self.0.push(HostCommand::StartAttempt { message: message.clone(), endpoint, timeout });
    }

    fn cancel_attempt(&mut self, message: &MessageId, attempt: AttemptNumber) {
        self.0.push(HostCommand::Cancel { message: message.clone(), attempt });
    }

    fn reject_message(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.0.push(HostCommand::Reject { message: message.clone(), retry_after });
    }

    fn fail_message(&mut self, message: &MessageId) {
        self.0.push(HostCommand::Fail { message: message.clone() });
    }

    fn set_timer(&mut self, after: Duration) {
        self.0.push(HostCommand::SetTimer { after });
    }

    fn start_health_check(&mut self, endpoint: EndpointId) {
        self.0.push(HostCommand::StartHealthCheck { endpoint });
    }

    fn send_gossip(&mut self, peer: Option<PeerId>, gossip: &[u8]) {
        self.0.push(HostCommand::SendGossip { to: peer, content: gossip.to_vec() });
    }

    /// Does nothing: simulated forwarders always receive endpoint list changes.
    fn watch_endpoint_list(&mut self, _on: bool) {}

    fn fetch_endpoint_list(&mut self) {
        self.0.push(HostCommand::FetchEndpointList);
    }

    fn report_event(&mut self, _event: &PolicyEvent) {}
}

impl World<'_> {
    /// Executes commands in order, then sends the requests that contain the started attempts.
    pub(super) fn execute(&mut self, forwarder: ForwarderIndex, commands: CommandBuffer) {
        let mut batches = OpenBatches::default();
        for command in commands.0 {
            self.execute_command(forwarder, command, &mut batches);
        }
        for request in batches.into_requests() {
            self.send_request(request);
        }
    }

    /// Executes one command. A started attempt is added to a request in `batches`.
    fn execute_command(
        &mut self,
        forwarder: ForwarderIndex,
        command: HostCommand,
        batches: &mut OpenBatches,
    ) {
        match command {
            HostCommand::StartAttempt { message, endpoint, timeout } => {
                if let Some(message) = self.owned_message(forwarder, &message) {
                    self.start_attempt(message, endpoint, timeout, batches);
                }
            }
            HostCommand::Cancel { message, attempt } => {
                if let Some(message) = self.owned_message(forwarder, &message) {
                    self.cancel_attempt(AttemptRef { message, number: attempt.0 as usize });
                }
            }
            HostCommand::Reject { message, retry_after } => {
                if let Some(message) = self.owned_message(forwarder, &message) {
                    self.reject_message(message, retry_after);
                }
            }
            HostCommand::Fail { message } => {
                if let Some(message) = self.owned_message(forwarder, &message) {
                    self.fail_message(message);
                }
            }
            HostCommand::SetTimer { after } => self.schedule_timer(forwarder, after),
            HostCommand::StartHealthCheck { endpoint } => self.start_health_check(forwarder, endpoint),
            HostCommand::SendGossip { to, content } => self.send_gossip(forwarder, to, &content),
            HostCommand::FetchEndpointList => self.fetch_endpoint_list(forwarder),
        }
    }

    /// Returns the message with this id if the forwarder's current incarnation owns it. Records a violation
    /// otherwise.
    fn owned_message(&mut self, forwarder: ForwarderIndex, id: &MessageId) -> Option<MessageIndex> {
        let incarnation = self.incarnation_of(forwarder);
        let is_owned = |message: &MessageIndex| {
            self.messages.get(message.0).is_some_and(|record| record.owner == incarnation)
        };
        let owned = message_index(id).filter(is_owned);
        if owned.is_none() {
            let description = format!("forwarder {} names {:?}, which it was not given", forwarder.0, id.0);
            self.invariants.record_violation(Rule::Interface, self.schedule.now(), None, description);
        }
        owned
    }

    /// Schedules the delivery of the complete endpoint list to a forwarder.
    fn fetch_endpoint_list(&mut self, forwarder: ForwarderIndex) {
        let changes = self.complete_endpoint_list();
        let delay = self.scenario.endpoint_list.delay_s.draw_seconds(&mut self.random.endpoint_list);
        let at = self.now() + delay;
        let input = ForwarderInput::EndpointList { complete: true, changes };
        self.schedule.schedule(at, Event::Input { to: self.incarnation_of(forwarder), input });
    }

    /// Schedules the arrival of a health check at an endpoint. Unknown endpoints are ignored.
    fn start_health_check(&mut self, forwarder: ForwarderIndex, endpoint: EndpointId) {
        let Some(endpoint) = self.known_endpoint(endpoint) else { return };
        let at = self.now() + self.draw_one_way_delay(forwarder, endpoint);
        let from = self.incarnation_of(forwarder);
        self.schedule.schedule(at, Event::HealthCheckArrives { from, endpoint });
    }

    /// Returns the index of an endpoint, or `None` if no endpoint has this id.
    pub(super) fn known_endpoint(&self, id: EndpointId) -> Option<EndpointIndex> {
        endpoint_index(id).filter(|endpoint| endpoint.0 < self.endpoints.len())
    }

    /// Sends gossip to one forwarder, or to all others if `to` is `None`.
    fn send_gossip(&mut self, from: ForwarderIndex, to: Option<PeerId>, content: &[u8]) {
        let settings = &self.scenario.gossip;
        let partitions = self.gossip_partitions();
        for peer in (0..self.forwarders.len()).map(ForwarderIndex).filter(|peer| *peer != from) {
            if !settings.allowed || to.is_some_and(|to| to.0 as usize != peer.0) {
                continue;
            }
            let delay = settings.delay_ms.draw_millis(&mut self.random.network);
            let is_lost = settings.loss.occurs(&mut self.random.network);
            let is_cut_off = partitions.iter().any(|side| side.contains(&from) != side.contains(&peer));
            if is_lost || is_cut_off {
                continue;
            }
            let input = ForwarderInput::Gossip { from, content: content.to_vec() };
            let at = self.now() + delay;
            self.schedule.schedule(at, Event::Input { to: self.incarnation_of(peer), input });
        }
    }

    /// Returns the forwarders on one side of each active gossip partition.
    fn gossip_partitions(&self) -> Vec<Vec<ForwarderIndex>> {
        let sides = self.active_faults.keys().filter_map(|index| match self.fault(*index) {
            Fault::GossipPartition { forwarders } => Some(self.layout.select_forwarders(forwarders)),
            _ => None,
        });
        sides.collect()
    }
}
