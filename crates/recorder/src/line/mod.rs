//! The lines of a recording as typed values; their text is in `text.rs`. The text is made of the public values
//! of the policy's interface, field by field, so that it stays the same when the inside of the policy changes.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointUpdate, LoadReport,
    MessageId, OrderingKey, PeerId, PolicyEvent, PreviousAttempt, Settings,
};

mod text;

/// A call into the delivery policy, with all its arguments. Each variant is named after the method.
pub enum PolicyCall<'a> {
    /// A new instance.
    New {
        /// When it starts.
        now: Duration,
        /// What it starts with.
        settings: &'a Settings,
    },
    /// An endpoint list, or what changed of it, is about to be given.
    BeginEndpointList {
        /// It is the whole list.
        complete: bool,
    },
    /// One entry of the list.
    UpdateEndpoint(&'a EndpointUpdate<'a>),
    /// The list has been given.
    FinishEndpointList,
    /// The list was lost before its end.
    AbortEndpointList,
    /// A poll for the list failed.
    DiscoveryFailed {
        /// When.
        now: Duration,
    },
    /// A message was submitted.
    Submit {
        /// When.
        now: Duration,
        /// The message's id.
        id: &'a MessageId,
        /// The name of its class.
        class: &'a str,
        /// Whose quota it counts against.
        tenant: Option<&'a str>,
        /// Its ordering key.
        ordering_key: Option<OrderingKey>,
        /// When its final answer is due.
        deadline: Duration,
        /// Where it is to be delivered.
        destination: DestinationId,
    },
    /// A message was submitted before this start of the host.
    Restore {
        /// When it is restored.
        now: Duration,
        /// The message's id.
        id: &'a MessageId,
        /// Its attempts until then.
        previous: &'a [PreviousAttempt],
    },
    /// An attempt ended.
    AttemptFinished {
        /// When.
        now: Duration,
        /// The message's id.
        id: &'a MessageId,
        /// Which attempt.
        number: AttemptNumber,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The message has its final answer.
        message_finished: bool,
    },
    /// A response or a health check carried a load report.
    LoadReported {
        /// Who reported.
        endpoint: EndpointId,
        /// What.
        report: LoadReport,
    },
    /// A response that rejected no message carried a Retry-After.
    RetryAfterReceived {
        /// When.
        now: Duration,
        /// Who asked for it.
        endpoint: EndpointId,
        /// The Retry-After.
        retry_after: Duration,
    },
    /// A message was withdrawn.
    Withdraw {
        /// The message's id.
        id: &'a MessageId,
    },
    /// The host is asked to stop.
    BeginShutdown {
        /// When it will have stopped.
        deadline: Duration,
    },
    /// The timer fired.
    TimerFired {
        /// When.
        now: Duration,
    },
    /// A health check ended.
    HealthChecked {
        /// When.
        now: Duration,
        /// Which endpoint was checked.
        endpoint: EndpointId,
        /// It is healthy.
        healthy: bool,
    },
    /// Another forwarder sent gossip.
    GossipReceived {
        /// When.
        now: Duration,
        /// Who sent it.
        from: PeerId,
        /// Its bytes.
        gossip: &'a [u8],
    },
    /// The policy decides all that can be decided now.
    RunDueWork {
        /// When.
        now: Duration,
    },
}

/// A command of the delivery policy to its host. Each variant is named after the method of
/// [`PolicyHost`](reeddock::PolicyHost).
pub enum PolicyCommand<'a> {
    /// Start an attempt.
    StartAttempt {
        /// The message's id.
        id: &'a MessageId,
        /// Where the attempt goes.
        endpoint: EndpointId,
        /// Its request and timeouts.
        timeouts: AttemptTimeouts,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message's id.
        id: &'a MessageId,
        /// Which attempt.
        number: AttemptNumber,
    },
    /// Reject a message.
    Reject {
        /// The message's id.
        id: &'a MessageId,
        /// The Retry-After for the client.
        retry_after: Option<Duration>,
    },
    /// Fail a message.
    Fail {
        /// The message's id.
        id: &'a MessageId,
    },
    /// Set the timer.
    SetTimer {
        /// How long until it fires.
        after: Duration,
    },
    /// Start a health check.
    StartHealthCheck {
        /// Of which endpoint.
        endpoint: EndpointId,
    },
    /// Send gossip.
    SendGossip {
        /// To whom; to all if none is named.
        peer: Option<PeerId>,
        /// Its bytes.
        gossip: &'a [u8],
    },
    /// Start or stop to follow the endpoint list.
    Subscribe {
        /// Start.
        on: bool,
    },
    /// Fetch the endpoint list once.
    FetchEndpointList,
    /// Report an event for the log.
    Report {
        /// The event, recorded in the words of its `Display`.
        event: &'a PolicyEvent,
    },
}

/// What a method of the delivery policy returned. Endpoints come in the order of their numbers, as the interface
/// promises no order.
pub enum ReturnedValue {
    /// Endpoints that a whole list no longer named.
    DroppedEndpoints(Vec<EndpointId>),
    /// Endpoints that the policy has dropped from its memory.
    RemovedEndpoints(Vec<EndpointId>),
    /// Endpoints that share a circuit with the one that was named.
    EndpointsSharingCircuit {
        /// The one that was named.
        endpoint: EndpointId,
        /// All of them.
        shared_by: Vec<EndpointId>,
    },
    /// Where an attempt in flight went.
    AttemptEndpoint {
        /// The message's id.
        id: MessageId,
        /// Which attempt.
        number: AttemptNumber,
        /// Its endpoint; none where the policy knows no such attempt.
        endpoint: Option<EndpointId>,
    },
    /// Whether the list has named a destination.
    KnowsDestination {
        /// The destination.
        destination: DestinationId,
        /// Whether it has.
        known: bool,
    },
}
