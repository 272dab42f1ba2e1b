//! Starts the tasks of a forwarder, runs its event loop, and performs a graceful shutdown.

use std::convert::Infallible;
use std::future::{pending, Future};
use std::sync::Arc;
use std::time::Duration;

use reeddock_protocol::ListLimits;
use reeddock_wal::WriteAheadLog;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, Instant};

use crate::clock::Clock;
use crate::connections::ConnectionPool;
use crate::event_loop::{EventLoop, EventLoopConfig, EventLoopParts};
use crate::events::Event;
use crate::ingress::{self, ClientConnections};
use crate::limits::Limits;
use crate::list_reader::MAX_QUEUED_LIST_CHUNKS;
use crate::list_status::ListStatus;
use crate::watch_schedule::{WatchSchedule, WatchTimings};
use crate::{discovery, notices, ForwarderError, ForwarderOptions};

/// The interval at which idle connections to endpoints are checked, well below the endpoints' idle timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which a shutdown checks whether all client connections are closed.
const CLIENTS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Opens the listening socket and serves until `stop` completes, then until the shutdown is complete or its
/// grace period ends.
pub async fn serve(options: ForwarderOptions, stop: impl Future<Output = ()>) -> Result<(), ForwarderError> {
    let address = options.listen;
    let listener =
        TcpListener::bind(address).await.map_err(|source| ForwarderError::Listen { address, source })?;
    serve_on(listener, options, stop).await
}

/// Serves like [`serve()`] on an open listening socket. `options.listen` is ignored.
///
/// All tasks that this function starts end when it returns.
pub async fn serve_on(
    listener: TcpListener,
    options: ForwarderOptions,
    stop: impl Future<Output = ()>,
) -> Result<(), ForwarderError> {
    let limits = Limits::derive(options.resources);
    let clock = Clock::start();
    let log = open_log(&options)?;
    let (events, event_queue) = mpsc::channel(limits.queued_events);
    let (list_events, list_queue) = mpsc::channel(MAX_QUEUED_LIST_CHUNKS);
    let (notices, notice_queue) = mpsc::unbounded_channel();
    let connections = new_connection_pool(&limits, &options);
    let list_status = ListStatus::default();
    let schedule = WatchSchedule::new(WatchTimings::default(), options.settings.seed);
    let cached_generation = options.cached_list.generation;
    let config = EventLoopConfig {
        settings: options.settings,
        tick: options.tick,
        max_message_bytes: limits.message_bytes,
    };
    let parts = EventLoopParts {
        clock,
        log,
        connections: connections.clone(),
        list_status: list_status.clone(),
        notices,
        events: events.clone(),
    };
    let mut event_loop = EventLoop::new(config, parts);
    event_loop.apply_cached_list(options.cached_list)?;
    event_loop.restore_pending();

    let mut background = JoinSet::new();
    background.spawn(notices::deliver(options.discovery.clone(), notice_queue, events.clone()));
    background.spawn(discovery::watch_endpoint_list(
        options.discovery,
        cached_generation,
        schedule,
        ListLimits::default().with_memory(limits.list_bytes),
        list_events,
    ));
    background.spawn(sweep_connections(connections));

    let clients = Arc::new(ClientConnections::new(list_status));
    let address = listener.local_addr().map_err(ForwarderError::LocalAddress)?;
    let mut accepting = JoinSet::new();
    accepting.spawn(ingress::accept(listener, limits, clients.clone(), events.clone()));
    tracing::info!(listen = %address, "serving");
    let shutdown = Shutdown {
        clients,
        accepting,
        events,
        grace: options.shutdown_grace,
        accept_grace: options.accept_grace,
    };
    tokio::select! {
        () = event_loop.run(event_queue, list_queue) => Ok(()),
        never = shutdown.run_after(stop) => match never {},
    }
}

fn new_connection_pool(limits: &Limits, options: &ForwarderOptions) -> ConnectionPool {
    let (connect_timeout, idle_timeout) = (options.connect_timeout, options.endpoint_idle_timeout);
    ConnectionPool::new(limits.endpoint_connections, connect_timeout, idle_timeout)
        .with_max_head_bytes(limits.response_head_bytes)
}

/// Opens the write-ahead log in the state folder.
fn open_log(options: &ForwarderOptions) -> Result<WriteAheadLog, ForwarderError> {
    let opened = WriteAheadLog::open(&options.state_folder, options.resources.disk_bytes, options.sync);
    opened.map_err(|source| ForwarderError::OpenLog { folder: options.state_folder.clone(), source })
}

/// Closes expired idle connections to endpoints at regular intervals. Never returns.
async fn sweep_connections(connections: ConnectionPool) {
    let mut interval = interval(SWEEP_INTERVAL);
    loop {
        interval.tick().await;
        connections.sweep();
    }
}

/// The client side of a graceful shutdown. The event loop ends once no message or notice is pending.
struct Shutdown {
    clients: Arc<ClientConnections>,
    /// The task that accepts client connections. The task returns the tasks of the connections that are still
    /// served.
    accepting: JoinSet<JoinSet<()>>,
    events: mpsc::Sender<Event>,
    /// The maximum time from the shutdown request to the end of the process.
    grace: Duration,
    /// The time from the shutdown request during which new client connections are accepted.
    accept_grace: Duration,
}

impl Shutdown {
    /// Waits for `stop`, asks clients to use other forwarders, and reports when the last client has
    /// disconnected.
    async fn run_after(mut self, stop: impl Future<Output = ()>) -> Infallible {
        stop.await;
        tracing::info!("shutdown requested");
        self.clients.begin_shutdown();
        let deadline = Instant::now() + self.grace;
        let _ = self.events.send(Event::ShutdownRequested(deadline)).await;
        sleep(self.accept_grace).await;
        self.clients.close_all();
        // The task completes once all clients that connected before the close are accepted. Dropping the
        // returned tasks closes their connections.
        let _connection_tasks = self.accepting.join_next().await;
        while !self.clients.is_empty() {
            sleep(CLIENTS_CHECK_INTERVAL).await;
        }
        let _ = self.events.send(Event::ClientsDisconnected).await;
        pending().await
    }
}
