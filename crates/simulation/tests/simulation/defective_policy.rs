//! A delivery policy with an injected defect: its inputs or its commands are altered on the way from or to
//! its host.

use std::time::Duration;

use reeddock::{
    AttemptNumber, AttemptOutcome, AttemptTimeouts, EndpointId, EndpointState, FinishedAttempt, MessageId,
    PeerId, PolicyEvent, PolicyHost, PreviousAttempt, Settings,
};
use reeddock_simulation::policies::DeliveryPolicyAdapter;
use reeddock_simulation::policy::{EndpointListUpdate, Policy, Submission, WorldView};

/// Interval, in submitted messages, at which [`Defect::IgnoresSomeMessages`] ignores one.
const IGNORED_INTERVAL: u32 = 50;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    None,
    /// The policy receives rejections without their Retry-After.
    IgnoresRetryAfter,
    /// The policy receives outcomes after which the message may have been executed as failed connections.
    RepeatsNonIdempotent,
    AnswersTwice,
    /// One of every fifty messages is not passed to the policy.
    IgnoresSomeMessages,
    /// The policy receives all listed endpoints as active.
    IgnoresDraining,
    /// Slow start is disabled, and the policy receives failed connections and timeouts as cancellations.
    OverloadsRecoveringEndpoints,
    /// The policy receives messages without their ordering keys.
    IgnoresOrderingKeys,
    /// The policy has no defect, but each attempt has this timeout.
    ShortTimeout(Duration),
}

pub struct DefectivePolicy {
    policy: DeliveryPolicyAdapter,
    defect: Defect,
    submitted: u32,
}

impl DefectivePolicy {
    pub fn open(
        defect: Defect,
        now: Duration,
        mut settings: Settings,
        host: &mut dyn PolicyHost,
    ) -> Box<dyn Policy> {
        if defect == Defect::OverloadsRecoveringEndpoints {
            settings.slow_start_floor = Some(1.0);
            settings.overload_capacity_multiple = Some(1000.0);
            settings.slow_start_duration = Some(Duration::from_millis(1));
        }
        let policy = DeliveryPolicyAdapter::new(now, settings, host);
        Box::new(DefectivePolicy { policy, defect, submitted: 0 })
    }
}

/// A host that alters the commands of the policy as the defect requires.
struct AlteredHost<'h> {
    host: &'h mut dyn PolicyHost,
    defect: Defect,
}

impl<'h> AlteredHost<'h> {
    fn new(host: &'h mut dyn PolicyHost, defect: Defect) -> AlteredHost<'h> {
        AlteredHost { host, defect }
    }
}

impl PolicyHost for AlteredHost<'_> {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, mut timeouts: AttemptTimeouts) {
        if let Defect::ShortTimeout(timeout) = self.defect {
            timeouts.response_within = timeout;
        }
        self.host.start_attempt(message, endpoint, timeouts);
    }

    fn cancel_attempt(&mut self, message: &MessageId, attempt: AttemptNumber) {
        self.host.cancel_attempt(message, attempt);
    }

    fn reject_message(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.host.reject_message(message, retry_after);
        if self.defect == Defect::AnswersTwice {
            self.host.fail_message(message);
        }
    }

    fn fail_message(&mut self, message: &MessageId) {
        self.host.fail_message(message);
        if self.defect == Defect::AnswersTwice {
            self.host.fail_message(message);
        }
    }

    fn set_timer(&mut self, after: Duration) {
        self.host.set_timer(after);
    }

    fn start_health_check(&mut self, endpoint: EndpointId) {
        self.host.start_health_check(endpoint);
    }

    fn send_gossip(&mut self, peer: Option<PeerId>, gossip: &[u8]) {
        self.host.send_gossip(peer, gossip);
    }

    fn watch_endpoint_list(&mut self, on: bool) {
        self.host.watch_endpoint_list(on);
    }

    fn fetch_endpoint_list(&mut self) {
        self.host.fetch_endpoint_list();
    }

    fn report_event(&mut self, event: &PolicyEvent) {
        self.host.report_event(event);
    }
}

/// Returns the outcome that the policy receives instead of `outcome`.
fn altered_outcome(defect: Defect, outcome: AttemptOutcome) -> AttemptOutcome {
    match (defect, outcome) {
        (Defect::IgnoresRetryAfter, AttemptOutcome::Rejected { .. }) => {
            AttemptOutcome::Rejected { retry_after: None }
        }
        (
            Defect::RepeatsNonIdempotent,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Error,
        ) => AttemptOutcome::NoConnection,
        (
            Defect::OverloadsRecoveringEndpoints,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::NoConnection,
        ) => AttemptOutcome::Cancelled,
        _ => outcome,
    }
}

impl Policy for DefectivePolicy {
    fn update_endpoint_list(
        &mut self,
        now: Duration,
        update: &EndpointListUpdate,
        host: &mut dyn PolicyHost,
    ) {
        let mut update = update.clone();
        if self.defect == Defect::IgnoresDraining {
            update.endpoints.iter_mut().for_each(|listed| listed.state = EndpointState::Active);
        }
        let mut host = AlteredHost::new(host, self.defect);
        self.policy.update_endpoint_list(now, &update, &mut host);
    }

    fn submit(&mut self, now: Duration, submission: &Submission, host: &mut dyn PolicyHost) {
        self.submitted += 1;
        if self.defect == Defect::IgnoresSomeMessages && self.submitted.is_multiple_of(IGNORED_INTERVAL) {
            return;
        }
        let mut submission = submission.clone();
        submission.ordering_key =
            submission.ordering_key.filter(|_| self.defect != Defect::IgnoresOrderingKeys);
        self.policy.submit(now, &submission, &mut AlteredHost::new(host, self.defect));
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        self.policy.restore(now, id, previous, &mut AlteredHost::new(host, self.defect));
    }

    fn attempt_finished(&mut self, now: Duration, ended: &FinishedAttempt, host: &mut dyn PolicyHost) {
        let FinishedAttempt { message: id, number, outcome, message_finished: finished } = *ended;
        let outcome = altered_outcome(self.defect, outcome);
        let mut host = AlteredHost::new(host, self.defect);
        self.policy.attempt_finished(
            now,
            &FinishedAttempt { message: id, number, outcome, message_finished: finished },
            &mut host,
        );
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        self.policy.withdraw(id, &mut AlteredHost::new(host, self.defect));
    }

    fn timer_fired(&mut self, now: Duration) {
        self.policy.timer_fired(now);
    }

    fn health_checked(&mut self, now: Duration, endpoint: EndpointId, healthy: bool) {
        self.policy.health_checked(now, endpoint, healthy);
    }

    fn gossip_received(&mut self, now: Duration, from: PeerId, gossip: &[u8]) {
        self.policy.gossip_received(now, from, gossip);
    }

    fn run_due_work(&mut self, now: Duration, world: &dyn WorldView, host: &mut dyn PolicyHost) {
        self.policy.run_due_work(now, world, &mut AlteredHost::new(host, self.defect));
    }
}
