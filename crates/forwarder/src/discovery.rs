//! The watch on the list of targets, opened again whenever it breaks or falls silent.

use std::net::SocketAddr;
use std::time::Duration;

use reeddock_protocol::{wait_of, watch};
use tokio::sync::{mpsc, watch as told};
use tokio::time::{sleep, timeout};

use crate::connections::Connection;
use crate::list_reader::read;
use crate::owner::Event;
use crate::reopening::{Loss, Reopening};
use crate::seldom::Seldom;

/// An empty line comes every two seconds; two that stay away are a silence.
pub(crate) const SILENT_AFTER: Duration = Duration::from_millis(4500);
const OPEN_WITHIN: Duration = Duration::from_secs(1);

/// Where discovery is from now on; never, once nobody can tell that any more.
pub(crate) async fn moved(at: &mut told::Receiver<SocketAddr>) {
    if at.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Watches for ever. `known` is the generation of the list that the owner has, wherever it is watched.
pub async fn follow(
    mut at: told::Receiver<SocketAddr>,
    mut known: u64,
    mut reopening: Reopening,
    owner: mpsc::Sender<Event>,
) {
    let mut seldom = Seldom::default();
    loop {
        let before = known;
        let mut heard = false;
        let discovery = *at.borrow_and_update();
        let loss = tokio::select! {
            loss = listen(discovery, &mut known, &mut heard, &owner) => loss,
            () = moved(&mut at) => {
                reopening.start_over();
                continue;
            }
        };
        if heard || known != before {
            reopening.start_over();
        }
        let rest = reopening.rest(&loss);
        if let Some(more) = seldom.now() {
            let (Loss::Broken(fault) | Loss::Refused(fault, _)) = &loss;
            tracing::warn!(
                %fault,
                ?rest,
                more,
                "the watch on the list of targets ended and is opened again after a rest"
            );
        }
        if owner.send(Event::ListFailed).await.is_err() {
            return;
        }
        tokio::select! {
            () = sleep(rest) => {}
            () = moved(&mut at) => reopening.start_over(),
        }
    }
}

/// One watch, until it ends; says why it did.
async fn listen(
    discovery: SocketAddr,
    known: &mut u64,
    heard: &mut bool,
    owner: &mpsc::Sender<Event>,
) -> Loss {
    let broken = |fault: &str| Loss::Broken(fault.to_owned());
    let request = match watch(discovery, *known) {
        Ok(request) => request,
        Err(fault) => return Loss::Broken(fault),
    };
    let mut connection = match Connection::open(discovery, OPEN_WITHIN, None).await {
        Ok(connection) => connection,
        Err(ending) => return Loss::Broken(format!("discovery: {ending:?}")),
    };
    let response = match timeout(SILENT_AFTER, connection.send(request)).await {
        Err(_) => return broken("no answer"),
        Ok(Err(ending)) => return Loss::Broken(format!("discovery: {ending:?}")),
        Ok(Ok(response)) => response,
    };
    let (answer, body) = response.into_parts();
    if answer.status != http::StatusCode::OK {
        return Loss::Refused(format!("answered {}", answer.status), wait_of(&answer));
    }
    read(connection, body, known, heard, owner).await
}
