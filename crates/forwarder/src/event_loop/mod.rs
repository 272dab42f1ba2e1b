//! The event loop, which owns the delivery policy and the write-ahead log. Other tasks send it events through
//! bounded queues. The policy's commands are executed only after the write-ahead log contains them.
//!
//! The steps in handling a message:
//!
//! | step | module |
//! | --- | --- |
//! | check a client's submission and pass it to the policy | [`submissions`], [`new_submission`] |
//! | run the policy's due work and collect its commands | [`due_work`], [`commands`] |
//! | give final answers, accept messages, number attempts | [`state`], [`pending_messages`] |
//! | append the records to the write-ahead log | [`log_writer`] |
//! | start requests with the attempts | [`requests`] |
//! | handle the results of attempts | [`attempt_results`], [`retry_after`] |
//! | send notices to the platform | [`notices`] |
//!
//! [`run`] waits for events, [`endpoint_list`] applies the endpoint list, and [`restore`] restores pending
//! messages from the write-ahead log at the start.

mod attempt_results;
mod commands;
mod due_work;
mod endpoint_list;
mod log_writer;
mod new_submission;
mod notices;
mod pending_messages;
mod requests;
mod restore;
mod retry_after;
mod run;
mod state;
mod submissions;

use std::collections::BTreeMap;
use std::time::Duration;

use reeddock::{DeliveryPolicy, Settings};
use reeddock_protocol::DeliveryNotice;
use reeddock_wal::WriteAheadLog;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::address_pauses::AddressPauses;
use crate::clock::Clock;
use crate::connections::ConnectionPool;
use crate::events::Event;
use crate::list_status::ListStatus;
use crate::log_throttle::LogThrottle;
use crate::request_sender::RequestSender;
use run::ShutdownProgress;
use state::EventLoopState;

/// The configuration of an event loop.
pub struct EventLoopConfig {
    /// The settings of the delivery policy.
    pub settings: Settings,
    /// The minimum interval between two runs of the policy's due work, in which the policy processes the
    /// events since the last run and issues commands.
    pub tick: Duration,
    /// The maximum total size of pending messages and unacknowledged notices in memory, in bytes.
    pub max_message_bytes: u64,
}

/// The components of the forwarder that an event loop uses.
pub struct EventLoopParts {
    /// The clock that converts between the policy's time and instants.
    pub clock: Clock,
    /// The write-ahead log, which the event loop takes over.
    pub log: WriteAheadLog,
    /// The pool of connections to endpoints.
    pub connections: ConnectionPool,
    /// The status of the endpoint list for the health check. The event loop updates the status.
    pub list_status: ListStatus,
    /// The sending end of the queue of notices for the platform.
    pub notices: mpsc::UnboundedSender<DeliveryNotice>,
    /// The sending end of the event loop's own queue, used for the results of requests.
    pub events: mpsc::Sender<Event>,
}

/// The event loop, which owns the delivery policy and the write-ahead log.
pub struct EventLoop {
    policy: DeliveryPolicy,
    state: EventLoopState,
    log: WriteAheadLog,
    clock: Clock,
    tick: Duration,
    max_message_bytes: u64,
    batch_limits: BatchLimits,
    connections: ConnectionPool,
    address_pauses: AddressPauses,
    request_sender: RequestSender,
    /// The tasks of the requests in flight, which end with the event loop.
    requests: JoinSet<()>,
    list_status: ListStatus,
    notices: mpsc::UnboundedSender<DeliveryNotice>,
    events: mpsc::Sender<Event>,
    throttles: LogThrottles,
    shutdown: ShutdownProgress,
}

impl EventLoop {
    /// Returns an event loop with a new policy that knows neither endpoints nor messages.
    pub fn new(config: EventLoopConfig, parts: EventLoopParts) -> EventLoop {
        let EventLoopParts { clock, log, connections, list_status, notices, events } = parts;
        let mut state = EventLoopState::default();
        let batch_limits = BatchLimits::from(&config.settings);
        let policy = DeliveryPolicy::new(clock.now(), config.settings, state.commands());
        EventLoop {
            policy,
            state,
            log,
            clock,
            tick: config.tick,
            max_message_bytes: config.max_message_bytes,
            batch_limits,
            request_sender: RequestSender::new(connections.clone()),
            connections,
            address_pauses: AddressPauses::default(),
            requests: JoinSet::new(),
            list_status,
            notices,
            events,
            throttles: LogThrottles::default(),
            shutdown: ShutdownProgress::default(),
        }
    }
}

/// The maximum number of messages in one request, by the name of the endpoint kind.
struct BatchLimits(BTreeMap<String, usize>);

impl From<&Settings> for BatchLimits {
    fn from(settings: &Settings) -> BatchLimits {
        let limits = settings
            .endpoint_kinds
            .iter()
            .map(|kind| (kind.name.clone(), kind.max_batch.unwrap_or(1).max(1) as usize));
        BatchLimits(limits.collect())
    }
}

impl BatchLimits {
    /// Returns the limit of an endpoint kind, or 1 if the settings do not name the kind.
    fn of_kind(&self, kind: &str) -> usize {
        self.0.get(kind).copied().unwrap_or(1)
    }
}

#[derive(Default)]
struct LogThrottles {
    /// Limits log lines about submissions rejected for lack of capacity, and about failed appends to the
    /// write-ahead log.
    capacity: LogThrottle,
    malformed_message: LogThrottle,
    malformed_list: LogThrottle,
    no_list: LogThrottle,
}
