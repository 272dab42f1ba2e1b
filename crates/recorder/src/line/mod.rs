//! Typed lines of a recording; their `Display` implementations are in `text.rs`. Lines contain only public
//! values of the policy's interface, so that changes of the policy's internal state don't affect them.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, DestinationId, EndpointId, EndpointUpdate, LoadReport,
    MessageId, OrderingKey, PeerId, PolicyEvent, PreviousAttempt, Settings,
};

mod text;

/// A call into the delivery policy with its arguments. Each variant is named after the method.
pub enum PolicyCall<'a> {
    /// The host created a delivery policy.
    New {
        /// Time of the call.
        now: Duration,
        /// Settings of the new delivery policy.
        settings: &'a Settings,
    },
    /// Discovery starts to pass an endpoint list.
    BeginEndpointList {
        /// Whether the list names all endpoints; otherwise it names only those that have changed.
        complete: bool,
    },
    /// Discovery passed one entry of the endpoint list.
    UpdateEndpoint(&'a EndpointUpdate<'a>),
    /// Discovery passed all entries of the endpoint list.
    FinishEndpointList,
    /// The endpoint list broke off before its last entry.
    AbortEndpointList,
    /// Discovery failed to get an endpoint list.
    DiscoveryFailed {
        /// Time of the call.
        now: Duration,
    },
    /// A client submitted a message.
    Submit {
        /// Time of the call.
        now: Duration,
        /// Id of the message.
        id: &'a MessageId,
        /// Name of the message class.
        class: &'a str,
        /// Tenant whose quota the message counts against, if any.
        tenant: Option<&'a str>,
        /// Ordering key of the message, if the client sent one.
        ordering_key: Option<OrderingKey>,
        /// Time by which the final answer is due.
        deadline: Duration,
        /// Destination of the message.
        destination: DestinationId,
    },
    /// The host restored the attempts that a message had before a restart.
    Restore {
        /// Time of the call.
        now: Duration,
        /// Id of the message.
        id: &'a MessageId,
        /// Attempts before the restart.
        previous: &'a [PreviousAttempt],
    },
    /// An attempt finished.
    AttemptFinished {
        /// Time of the call.
        now: Duration,
        /// Id of the message.
        id: &'a MessageId,
        /// Number of the attempt within the message, starting at 0.
        number: AttemptNumber,
        /// Result of the attempt.
        outcome: AttemptOutcome,
        /// Whether the message has its final answer.
        message_finished: bool,
    },
    /// A response or a health check carried a load report.
    LoadReported {
        /// Endpoint that sent the load report.
        endpoint: EndpointId,
        /// Remaining share of capacity and rate limit of the endpoint.
        report: LoadReport,
    },
    /// A response that rejected no message carried a Retry-After.
    RetryAfterReceived {
        /// Time of the call.
        now: Duration,
        /// Endpoint that sent the Retry-After.
        endpoint: EndpointId,
        /// Delay that the endpoint asked for.
        retry_after: Duration,
    },
    /// A client withdrew a message.
    Withdraw {
        /// Id of the message.
        id: &'a MessageId,
    },
    /// The host started its shutdown.
    BeginShutdown {
        /// Time at which the host stops.
        deadline: Duration,
    },
    /// A timer of the policy fired.
    TimerFired {
        /// Time of the call.
        now: Duration,
    },
    /// A health check finished.
    HealthChecked {
        /// Time of the call.
        now: Duration,
        /// Endpoint that was checked.
        endpoint: EndpointId,
        /// Whether the endpoint passed the health check.
        healthy: bool,
    },
    /// Another forwarder sent gossip.
    GossipReceived {
        /// Time of the call.
        now: Duration,
        /// Forwarder that sent the gossip.
        from: PeerId,
        /// Encoded gossip.
        gossip: &'a [u8],
    },
    /// The host ran the policy's due work.
    RunDueWork {
        /// Time of the call.
        now: Duration,
    },
}

/// A command of the delivery policy to its host. Each variant is named after the method of
/// [`PolicyHost`](reeddock::PolicyHost).
pub enum PolicyCommand<'a> {
    /// Starts an attempt.
    StartAttempt {
        /// Id of the message.
        id: &'a MessageId,
        /// Endpoint of the attempt.
        endpoint: EndpointId,
        /// Request that carries the attempt, and timeouts of the attempt.
        timeouts: AttemptTimeouts,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// Id of the message.
        id: &'a MessageId,
        /// Number of the attempt within the message, starting at 0.
        number: AttemptNumber,
    },
    /// Rejects a message, which its client can submit again.
    RejectMessage {
        /// Id of the message.
        id: &'a MessageId,
        /// Delay that the client is asked for, if any.
        retry_after: Option<Duration>,
    },
    /// Fails a message, which may have been executed.
    FailMessage {
        /// Id of the message.
        id: &'a MessageId,
    },
    /// Sets a timer.
    SetTimer {
        /// Delay until the timer fires.
        after: Duration,
    },
    /// Starts a health check.
    StartHealthCheck {
        /// Endpoint to check.
        endpoint: EndpointId,
    },
    /// Sends gossip.
    SendGossip {
        /// Forwarder that receives the gossip; `None` for all other forwarders.
        peer: Option<PeerId>,
        /// Encoded gossip.
        gossip: &'a [u8],
    },
    /// Starts or stops watching the endpoint list.
    WatchEndpointList {
        /// Whether the watch starts; `false` stops the watch.
        on: bool,
    },
    /// Requests the full endpoint list once.
    FetchEndpointList,
    /// Records an event in the log.
    ReportEvent {
        /// The event; the recording contains the text of its `Display` implementation.
        event: &'a PolicyEvent,
    },
}

/// A value that a method of the delivery policy returned. Endpoints are sorted by number, because the order
/// in which the policy returns them is unspecified.
pub enum ReturnedValue {
    /// Endpoints that were removed because a complete list didn't name them.
    UnlistedEndpoints(Vec<EndpointId>),
    /// Endpoints that the policy no longer keeps any state of.
    RemovedEndpoints(Vec<EndpointId>),
    /// Endpoints that share a circuit.
    EndpointsSharingCircuit {
        /// Endpoint that the query named.
        endpoint: EndpointId,
        /// All endpoints of that circuit.
        shared_by: Vec<EndpointId>,
    },
    /// Endpoint of an attempt in flight.
    AttemptEndpoint {
        /// Id of the message.
        id: MessageId,
        /// Number of the attempt within the message, starting at 0.
        number: AttemptNumber,
        /// Endpoint of the attempt; `None` if the policy doesn't know the attempt.
        endpoint: Option<EndpointId>,
    },
    /// Whether the policy knows a destination from the endpoint list.
    KnowsDestination {
        /// Destination that the query named.
        destination: DestinationId,
        /// Whether the policy knows the destination.
        known: bool,
    },
}
