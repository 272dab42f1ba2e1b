//! The one task that owns the delivery policy and the write-ahead log. All other tasks reach it through bounded queues
//! only; the policy's commands are carried out from here, and only after the write-ahead log has them.
//!
//! The steps of a message, each in a module of its own:
//!
//! | step | module |
//! | --- | --- |
//! | a client's submission is checked and passed to the policy | [`submissions`], [`new_submission`] |
//! | the policy runs its due work, and its commands are gathered | [`due_work`], [`commands`] |
//! | final answers without delivery, acceptance, and numbering of attempts | [`state`], [`pending_messages`] |
//! | all of that goes into the write-ahead log | [`log_writer`] |
//! | requests with the attempts start | [`requests`] |
//! | attempts finish | [`attempt_results`] |
//! | the platform acknowledges notices | [`notices`] |
//!
//! [`run`] waits for the events, [`endpoint_list`] applies the endpoint list, and [`restore`] continues with what the
//! write-ahead log holds from before the start.

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
    /// Due work runs at most once in this interval.
    pub tick: Duration,
    /// Bytes of messages that may be kept in memory.
    pub max_message_bytes: u64,
}

/// The parts of the forwarder that an event loop works with.
pub struct EventLoopParts {
    /// The policy's time.
    pub clock: Clock,
    /// Owned by the event loop from here on.
    pub log: WriteAheadLog,
    /// The pool of connections to endpoints.
    pub connections: ConnectionPool,
    /// The status of the endpoint list for the health check, which the event loop updates.
    pub list_status: ListStatus,
    /// The queue of notices for the platform.
    pub notices: mpsc::UnboundedSender<DeliveryNotice>,
    /// The sending end of the event loop's own queue, for the results of requests.
    pub events: mpsc::Sender<Event>,
}

/// The owner of the delivery policy and the write-ahead log.
pub struct EventLoop {
    policy: DeliveryPolicy,
    state: EventLoopState,
    log: WriteAheadLog,
    clock: Clock,
    tick: Duration,
    max_message_bytes: u64,
    batch_limits: BatchLimits,
    connections: ConnectionPool,
    request_sender: RequestSender,
    /// The tasks of the requests that are in flight; they end with the event loop.
    requests: JoinSet<()>,
    list_status: ListStatus,
    notices: mpsc::UnboundedSender<DeliveryNotice>,
    events: mpsc::Sender<Event>,
    throttles: LogThrottles,
    shutdown: ShutdownProgress,
}

impl EventLoop {
    /// An event loop with a new policy, which knows neither endpoints nor messages.
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
            requests: JoinSet::new(),
            list_status,
            notices,
            events,
            throttles: LogThrottles::default(),
            shutdown: ShutdownProgress::default(),
        }
    }
}

/// The most messages in one request, by kind of endpoint.
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
    /// The limit of a kind; 1 for one that the settings don't name.
    fn of_kind(&self, kind: &str) -> usize {
        self.0.get(kind).copied().unwrap_or(1)
    }
}

/// The throttles of the event loop's log lines.
#[derive(Default)]
struct LogThrottles {
    /// Submissions without capacity, and failed writes to the write-ahead log.
    capacity: LogThrottle,
    malformed_message: LogThrottle,
    malformed_list: LogThrottle,
    no_list: LogThrottle,
}
