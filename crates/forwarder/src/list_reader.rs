//! Reads the body of a watch: parts of the list of targets, one a line, handed to the owner as they come.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use reeddock_protocol::ListPart;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::owner::Event;
use crate::watch_schedule::Loss;

/// The whole list of a large fleet fits well inside this.
const LONGEST_LINE: usize = 16 * 1024 * 1024;

/// Reads until the watch ends; says why it did. `known` is the generation of the last part that the owner has;
/// `heard` is set once any line has come. Nothing for `silent_after` is a silence.
pub(crate) async fn read(
    body: &mut Incoming,
    known: &mut u64,
    heard: &mut bool,
    silent_after: Duration,
    owner: &mpsc::Sender<Event>,
) -> Loss {
    let broken = |fault: &str| Loss::Broken(fault.to_owned());
    let mut line: Vec<u8> = Vec::new();
    loop {
        let frame = match timeout(silent_after, body.frame()).await {
            Err(_) => return Loss::Silent,
            Ok(None) => return broken("closed"),
            Ok(Some(Err(e))) => return Loss::Broken(e.to_string()),
            Ok(Some(Ok(frame))) => frame,
        };
        for byte in frame.into_data().unwrap_or_default() {
            if byte != b'\n' {
                line.push(byte);
                if line.len() > LONGEST_LINE {
                    return broken("a line has no end");
                }
                continue;
            }
            *heard = true;
            if !line.trim_ascii().is_empty() {
                let part = match ListPart::decode(&line) {
                    Ok(part) => part,
                    Err(fault) => return Loss::Broken(format!("a line that can't be read: {fault}")),
                };
                let generation = part.generation;
                if owner.send(Event::List(part)).await.is_err() {
                    return broken("the forwarder stops");
                }
                // Only now: a watch that is left for another address before this asks for it again.
                *known = generation;
            }
            line.clear();
        }
    }
}
