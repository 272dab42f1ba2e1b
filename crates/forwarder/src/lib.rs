//! One forwarder on sockets, around reeddock's decision module. Every decision is the delivery policy's; here it is
//! carried out, and what happens is told to it.
//!
//! | part | its job |
//! | --- | --- |
//! | [`ingress`] | clients submit messages |
//! | [`events`] | what the sockets tell the owner |
//! | [`event_loop`] | owns the delivery policy and the write-ahead log; bounded queues lead to it |
//! | [`endpoints`] | names, numbers and addresses of endpoints |
//! | [`request_sender`] | one call to an endpoint, to its end |
//! | [`connections`] | connections, kept and counted |
//! | [`http_progress`] | what has passed on a connection |
//! | [`idle_permits`] | which kinds of endpoint have no room for idle connections |
//! | [`discovery`] | the watch on the list of endpoints |
//! | [`cached_endpoint_list`] | the list as it was last known |
//! | [`list_reader`] | reads what a watch tells |
//! | [`list_status`] | what the health check says of the list |
//! | [`malformed_list`] | when a list that can't be read is asked for again |
//! | [`watch_schedule`] | when that watch is opened again after a loss |
//! | [`notices`] | tells the platform of what was not delivered |
//! | [`limits`] | what the machine has room for |
//! | [`log_throttle`] | log lines that would come in floods |
//! | [`clock`] | spans for the delivery policy, wall-clock time for what is stored |

pub mod cached_endpoint_list;
pub mod clock;
pub mod connections;
pub mod discovery;
pub mod endpoints;
pub mod event_loop;
pub mod events;
pub mod http_progress;
pub mod idle_permits;
pub mod ingress;
pub mod limits;
pub mod list_reader;
pub mod list_status;
pub mod log_throttle;
pub mod malformed_list;
pub mod notices;
pub mod request_sender;
pub mod watch_schedule;

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use reeddock::{DeliveryPolicy, Settings};
use reeddock_wal::WriteAheadLog;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, sleep, Instant};

use cached_endpoint_list::CachedEndpointList;
use clock::Clock;
use connections::Connections;
use event_loop::{EventLoop, State};
use events::Event;
use ingress::ClientConnections;
use limits::{Limits, ResourceLimits};
use list_reader::PIECES_WAITING;
use list_status::ListStatus;
use request_sender::RequestSender;
use watch_schedule::{Periods, WatchSchedule};

/// What one forwarder is told at its start.
pub struct ForwarderOptions {
    pub listen: SocketAddr,
    /// Where discovery and the platform are, now and whenever that changes.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The folder that outlasts the process.
    pub state: PathBuf,
    pub resources: ResourceLimits,
    /// The list of endpoints as it was last known.
    pub cached_list: CachedEndpointList,
    pub settings: Settings,
    /// What comes in is told to the delivery policy at most this often.
    pub tick: Duration,
    /// When the write-ahead log is made to outlast the machine.
    pub sync: reeddock_wal::Sync,
    /// A connection that is not up by then is none, and one that stands idle for so long is closed.
    pub connect_within: Duration,
    pub closed_after: Duration,
    /// How long it may go on once it is asked to stop, and how long new clients still come then.
    pub shutdown_grace: Duration,
    pub accept_grace: Duration,
}

/// Listens, and serves until `stop` and whatever can still be ended after it.
pub async fn serve(options: ForwarderOptions, stop: impl Future<Output = ()>) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {}: {e}", options.listen)))?;
    serve_on(listener, options, stop).await
}

/// Serves on a socket that listens already, whatever the post says of one.
pub async fn serve_on(
    listener: TcpListener,
    options: ForwarderOptions,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let limits = Limits::derive(options.resources);
    let clock = Clock::start();
    let log = WriteAheadLog::open(&options.state, options.resources.disk_bytes, options.sync)
        .map_err(|e| io::Error::new(e.kind(), format!("ledger in {}: {e}", options.state.display())))?;
    let (events, queue) = mpsc::channel(limits.queue);
    let (watched, watch) = mpsc::channel(PIECES_WAITING);
    let (notices, unacknowledged) = mpsc::unbounded_channel();
    let connections = Connections::new(limits.requests, options.connect_within, options.closed_after);
    let list_status = ListStatus::default();
    let mut state = State::default();
    let batches: BTreeMap<String, usize> = options
        .settings
        .endpoint_kinds
        .iter()
        .map(|k| (k.name.clone(), k.max_batch.unwrap_or(1).max(1) as usize))
        .collect();
    let schedule = WatchSchedule::new(Periods::default(), options.settings.seed);
    let policy = DeliveryPolicy::new(clock.now(), options.settings, state.commands());
    let generation = options.cached_list.generation;
    let mut event_loop = EventLoop {
        policy,
        log,
        clock,
        request_sender: RequestSender { connections: connections.clone() },
        batches,
        tick: options.tick,
        most_bodies: limits.bodies,
        notices,
        events: events.clone(),
        list_status: list_status.clone(),
        state,
    };
    event_loop
        .cached_endpoint_list(options.cached_list)
        .map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault))?;
    event_loop.restore_pending();
    tokio::spawn(notices::tell(options.discovery.clone(), unacknowledged, events.clone()));
    tokio::spawn(discovery::follow(options.discovery, generation, schedule, watched));
    tokio::spawn(async move {
        let mut tick = interval(Duration::from_millis(500));
        loop {
            tick.tick().await;
            connections.sweep();
        }
    });
    let clients = Arc::new(ClientConnections::new(list_status));
    let listen = listener.local_addr()?;
    let accepting = tokio::spawn(ingress::accept(listener, limits, clients.clone(), events.clone()));
    tracing::info!(listen = %listen, "serving");
    let leave = async {
        stop.await;
        tracing::info!("asked to stop");
        clients.leave();
        let by = Instant::now() + options.shutdown_grace;
        let _ = events.send(Event::Leaving(by)).await;
        sleep(options.accept_grace).await;
        clients.close();
        // Its end is that of the last connection which came before it.
        let _ = accepting.await;
        while !clients.empty() {
            sleep(Duration::from_millis(20)).await;
        }
        let _ = events.send(Event::ClientsGone).await;
        std::future::pending::<()>().await
    };
    tokio::select! {
        () = event_loop.run(queue, watch) => Ok(()),
        () = leave => Ok(()),
    }
}
