//! One forwarder on sockets, around reeddock's decision module. Every decision is the module's; here it is
//! carried out, and what happens is told to it.
//!
//! | part | its job |
//! | --- | --- |
//! | [`intake`] | clients hand envelopes in |
//! | [`events`] | what the sockets tell the owner |
//! | [`owner`] | owns the module and the ledger; bounded queues lead to it |
//! | [`targets`] | names, numbers and addresses of targets |
//! | [`calls`] | one call to a target, to its end |
//! | [`connections`] | connections, kept and counted |
//! | [`passage`] | what has passed on a connection |
//! | [`crowding`] | which kinds of target have no room for idle connections |
//! | [`discovery`] | the watch on the list of targets |
//! | [`known_list`] | the list as it was last known |
//! | [`list_reader`] | reads what a watch tells |
//! | [`list_status`] | what the health check says of the list |
//! | [`unreadable_list`] | when a list that can't be read is asked for again |
//! | [`watch_schedule`] | when that watch is opened again after a loss |
//! | [`notices`] | tells the platform of what was not delivered |
//! | [`limits`] | what the machine has room for |
//! | [`seldom`] | log lines that would come in floods |
//! | [`clock`] | spans for the module, wall-clock time for what is stored |

pub mod calls;
pub mod clock;
pub mod connections;
pub mod crowding;
pub mod discovery;
pub mod events;
pub mod intake;
pub mod known_list;
pub mod limits;
pub mod list_reader;
pub mod list_status;
pub mod notices;
pub mod owner;
pub mod passage;
pub mod seldom;
pub mod targets;
pub mod unreadable_list;
pub mod watch_schedule;

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use reeddock::{Forwarder, Terms};
use reeddock_wal::Ledger;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, sleep, Instant};

use calls::Courier;
use clock::Clock;
use connections::Connections;
use events::Event;
use intake::Door;
use known_list::KnownList;
use limits::{Allowance, Limits};
use list_reader::PIECES_WAITING;
use list_status::ListStatus;
use owner::{Owner, State};
use watch_schedule::{Periods, WatchSchedule};

/// What one forwarder is told at its start.
pub struct Post {
    pub listen: SocketAddr,
    /// Where discovery and the platform are, now and whenever that changes.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The folder that outlasts the process.
    pub state: PathBuf,
    pub allowance: Allowance,
    /// The list of targets as it was last known.
    pub known: KnownList,
    pub terms: Terms,
    /// What comes in is told to the module at most this often.
    pub tick: Duration,
    /// When the ledger is made to outlast the machine.
    pub sync: reeddock_wal::Sync,
    /// A connection that is not up by then is none, and one that stands idle for so long is closed.
    pub connect_within: Duration,
    pub closed_after: Duration,
    /// How long it may go on once it is asked to stop, and how long new clients still come then.
    pub leave_within: Duration,
    pub clients_come_for: Duration,
}

/// Listens, and serves until `stop` and whatever can still be ended after it.
pub async fn serve(post: Post, stop: impl Future<Output = ()>) -> io::Result<()> {
    let listener = TcpListener::bind(post.listen)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {}: {e}", post.listen)))?;
    serve_on(listener, post, stop).await
}

/// Serves on a socket that listens already, whatever the post says of one.
pub async fn serve_on(listener: TcpListener, post: Post, stop: impl Future<Output = ()>) -> io::Result<()> {
    let limits = Limits::derive(post.allowance);
    let clock = Clock::start();
    let ledger = Ledger::open(&post.state, post.allowance.disk_bytes, post.sync)
        .map_err(|e| io::Error::new(e.kind(), format!("ledger in {}: {e}", post.state.display())))?;
    let (events, queue) = mpsc::channel(limits.queue);
    let (watched, watch) = mpsc::channel(PIECES_WAITING);
    let (notices, untold) = mpsc::unbounded_channel();
    let connections = Connections::new(limits.calls, post.connect_within, post.closed_after);
    let list_status = ListStatus::default();
    let mut state = State::default();
    let batches: BTreeMap<String, usize> =
        post.terms.kinds.iter().map(|k| (k.0.clone(), k.2.unwrap_or(1).max(1) as usize)).collect();
    let schedule = WatchSchedule::new(Periods::default(), post.terms.seed);
    let forwarder = Forwarder::open(clock.now(), post.terms, state.desk());
    let generation = post.known.generation;
    let mut owner = Owner {
        forwarder,
        ledger,
        clock,
        courier: Courier { connections: connections.clone() },
        batches,
        tick: post.tick,
        most_bodies: limits.bodies,
        notices,
        events: events.clone(),
        list_status: list_status.clone(),
        state,
    };
    owner.known_list(post.known).map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault))?;
    owner.take_up();
    tokio::spawn(notices::tell(post.discovery.clone(), untold, events.clone()));
    tokio::spawn(discovery::follow(post.discovery, generation, schedule, watched));
    tokio::spawn(async move {
        let mut tick = interval(Duration::from_millis(500));
        loop {
            tick.tick().await;
            connections.sweep();
        }
    });
    let door = Arc::new(Door::new(list_status));
    let listen = listener.local_addr()?;
    let accepting = tokio::spawn(intake::accept(listener, limits, door.clone(), events.clone()));
    tracing::info!(listen = %listen, "serving");
    let leave = async {
        stop.await;
        tracing::info!("asked to stop");
        door.leave();
        let by = Instant::now() + post.leave_within;
        let _ = events.send(Event::Leaving(by)).await;
        sleep(post.clients_come_for).await;
        door.close();
        // Its end is that of the last connection which came before it.
        let _ = accepting.await;
        while !door.empty() {
            sleep(Duration::from_millis(20)).await;
        }
        let _ = events.send(Event::ClientsGone).await;
        std::future::pending::<()>().await
    };
    tokio::select! {
        () = owner.run(queue, watch) => Ok(()),
        () = leave => Ok(()),
    }
}
