//! Decides how a forwarder delivers outbound messages to other companies' systems.
//!
//! The modules of `src/policy/` make all decisions; `src/state/` and `src/queue/` hold the state. A host
//! program implements [`PolicyHost`], which carries out the commands of the policy, and reports each event to
//! a [`DeliveryPolicy`]. Each call passes the current time, as a duration since the start; the policy reads
//! no clock and no other input.
//!
//! # Hosting the policy
//!
//! ```
//! use std::time::Duration;
//! use reeddock::*;
//!
//! /// Prints the commands of the policy. A production host sends requests and reports their outcomes.
//! #[derive(Default)]
//! struct PrintingHost {
//!     started: Vec<MessageId>,
//! }
//!
//! impl PolicyHost for PrintingHost {
//!     fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, timeouts: AttemptTimeouts) {
//!         println!("send {message:?} to {endpoint:?}, {timeouts:?}");
//!         self.started.push(message.clone());
//!     }
//!     fn cancel_attempt(&mut self, _: &MessageId, _: AttemptNumber) {}
//!     fn reject_message(&mut self, message: &MessageId, _: Option<Duration>) {
//!         println!("reject {message:?}");
//!     }
//!     fn fail_message(&mut self, message: &MessageId) {
//!         println!("fail {message:?}");
//!     }
//!     fn set_timer(&mut self, after: Duration) {
//!         println!("call timer_fired and run_due_work in {after:?}");
//!     }
//!     fn start_health_check(&mut self, _: EndpointId) {}
//!     fn send_gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
//!     fn watch_endpoint_list(&mut self, _: bool) {}
//!     fn fetch_endpoint_list(&mut self) {}
//!     fn report_event(&mut self, event: &PolicyEvent) {
//!         println!("{event}");
//!     }
//! }
//!
//! let mut host = PrintingHost::default();
//! let news = MessageClass {
//!     name: "news".into(),
//!     idempotency: Some(Idempotency::Idempotent),
//!     latency_objective: Some(Duration::from_secs(2)),
//!     deadline: Some(Duration::from_secs(20)),
//!     ..Default::default()
//! };
//! let settings = Settings { seed: 1, classes: vec![news], max_in_flight: Some(4), ..Default::default() };
//! let start = Duration::ZERO;
//! let mut policy = DeliveryPolicy::new(start, settings, &mut host);
//!
//! let (endpoint, destination) = (EndpointId(7), DestinationId(3));
//! policy.begin_endpoint_list(true);
//! policy.update_endpoint(EndpointUpdate {
//!     endpoint,
//!     destination,
//!     state: EndpointState::Active,
//!     weight: None,
//!     zone: "here",
//!     kind: "app",
//! });
//! policy.finish_endpoint_list();
//!
//! let id = MessageId("first".into());
//! let message = NewMessage {
//!     id: id.clone(),
//!     class: "news",
//!     tenant: None,
//!     ordering_key: None,
//!     deadline: start + Duration::from_secs(20),
//!     destination,
//! };
//! policy.submit(start, message, &mut host);
//! policy.run_due_work(start, &mut host);
//! assert_eq!(host.started, [id.clone()]);
//!
//! let later = start + Duration::from_millis(80);
//! let finished = FinishedAttempt {
//!     message: &id,
//!     number: AttemptNumber(0),
//!     outcome: AttemptOutcome::Completed,
//!     message_finished: true,
//! };
//! policy.attempt_finished(later, &finished, &mut host);
//! policy.run_due_work(later, &mut host);
//! ```

mod inspection;
pub mod interface;
mod message_key;
mod policy;
mod queue;
mod state;

pub use inspection::{MessageProgress, StateSize};
pub use interface::*;
pub use policy::DeliveryPolicy;
