//! Waits for events and timers, and handles them in steps of limited length.

use std::pin::pin;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use super::commands::AttemptKey;
use super::EventLoop;
use crate::events::Event;

/// The maximum number of events that are handled before due work runs, so that many events do not delay the
/// policy's decisions.
const MAX_EVENTS_PER_STEP: usize = 256;

/// The progress of a graceful shutdown.
#[derive(Default)]
pub(super) struct ShutdownProgress {
    /// The latest time at which the process stops, or `None` if no shutdown was requested.
    deadline: Option<Instant>,
    clients_disconnected: bool,
}

impl EventLoop {
    /// Runs the event loop until the shutdown is complete.
    ///
    /// `events` receives the events of all tasks except the watch. The watch has a separate short queue,
    /// `list_events`, so that a long list and other events do not block each other.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>, mut list_events: mpsc::Receiver<Event>) {
        // Counts from here, because applying a long cached list and restoring messages take time.
        self.await_list_confirmation();
        self.run_due_work(self.clock.now());
        loop {
            let first = self.wait_for_work(&mut events, &mut list_events).await;
            // Events of one interval are handled in one step, so that messages for one endpoint share a
            // request and due work runs with the latest results of attempts.
            self.apply_list_events_until(self.clock.next_tick(self.tick), &mut list_events).await;
            let now = self.clock.now();
            self.handle_events(first, &mut events, now);
            self.fire_timers(now);
            self.run_due_work(now);
            if self.is_shut_down() {
                tracing::info!(pending = self.state.pending().len(), "stopped");
                return;
            }
        }
    }

    /// Waits for an event, a due timer or the shutdown deadline. Returns the event, if any.
    async fn wait_for_work(
        &mut self,
        events: &mut mpsc::Receiver<Event>,
        list_events: &mut mpsc::Receiver<Event>,
    ) -> Option<Event> {
        let timer = self.state.next_timer().map(|at| self.clock.instant_at(at));
        let wake_at = [timer, self.shutdown.deadline].into_iter().flatten().min();
        tokio::select! {
            event = events.recv() => event,
            Some(event) = list_events.recv() => {
                self.handle_event(event, self.clock.now());
                events.try_recv().ok()
            }
            _ = sleep_until(wake_at.unwrap_or_else(Instant::now)), if wake_at.is_some() => None,
        }
    }

    /// Applies list events until `until`. Other tasks can run between two chunks.
    async fn apply_list_events_until(&mut self, until: Instant, list_events: &mut mpsc::Receiver<Event>) {
        let mut sleep = pin!(sleep_until(until));
        loop {
            tokio::select! {
                biased;
                () = &mut sleep => return,
                Some(event) = list_events.recv() => self.handle_event(event, self.clock.now()),
            }
            yield_now().await;
        }
    }

    /// Handles an event and the events queued after it, at most [`MAX_EVENTS_PER_STEP`] in total.
    fn handle_events(&mut self, first: Option<Event>, events: &mut mpsc::Receiver<Event>, now: Duration) {
        let queued = std::iter::from_fn(|| events.try_recv().ok());
        let Some(first) = first else { return };
        for event in std::iter::once(first).chain(queued).take(MAX_EVENTS_PER_STEP) {
            self.handle_event(event, now);
        }
    }

    /// Passes an event to its handler.
    fn handle_event(&mut self, event: Event, now: Duration) {
        match event {
            Event::Submission { submission, received_at, reply } => {
                self.submit(submission, received_at, reply, now)
            }
            Event::AttemptFinished { message, number, address, result } => {
                let attempt = AttemptKey { message, number };
                self.pause_after_rejection(&attempt, address, result, now);
                self.finish_attempt(attempt, result, now)
            }
            Event::RetryAfter { endpoint, address, retry_after } => {
                self.pause_endpoint(endpoint, address, retry_after, now)
            }
            Event::LoadReported { endpoint, report } => self.policy.load_reported(endpoint, report),
            Event::ListEvents(events) => self.apply_list_events(events),
            Event::ListMalformed(list) => self.reject_malformed_list(&list),
            Event::WatchLost => self.discovery_failed(),
            Event::DiscoveryMoved => self.discovery_moved(),
            Event::NoticesAcknowledged(ids) => self.state.acknowledge_notices(&ids),
            Event::ShutdownRequested(deadline) => self.begin_shutdown(deadline),
            Event::ClientsDisconnected => self.shutdown.clients_disconnected = true,
        }
    }

    /// Reports each due timer to the policy.
    fn fire_timers(&mut self, now: Duration) {
        while self.state.take_due_timer(now).is_some() {
            self.policy.timer_fired(now);
        }
    }

    /// Stores the deadline of the shutdown, and reports it to the policy.
    fn begin_shutdown(&mut self, deadline: Instant) {
        self.policy.begin_shutdown(self.clock.time_at(deadline));
        self.shutdown.deadline = Some(deadline);
    }

    /// Returns whether a requested shutdown is complete or past its deadline.
    fn is_shut_down(&self) -> bool {
        let Some(deadline) = self.shutdown.deadline else { return false };
        let complete = self.shutdown.clients_disconnected && self.state.is_idle();
        complete || Instant::now() >= deadline
    }
}
