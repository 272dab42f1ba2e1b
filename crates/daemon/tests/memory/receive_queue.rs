//! Waits until the other side of loopback connections has read all bytes that were written to them.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use crate::wait::WAIT_TIMEOUT;

/// The kernel's table of TCP sockets over IPv4.
const SOCKET_TABLE: &str = "/proc/net/tcp";

/// The receive queues at the other side of loopback connections.
pub struct ReceiveQueues {
    peers: BTreeSet<SocketAddr>,
}

impl ReceiveQueues {
    /// Returns the receive queues at the other side of these connections.
    pub fn of_peers<'s>(streams: impl IntoIterator<Item = &'s TcpStream>) -> ReceiveQueues {
        ReceiveQueues { peers: streams.into_iter().filter_map(|stream| stream.peer_addr().ok()).collect() }
    }

    /// Waits until every byte is read. Bytes that are written afterwards are then received by a read of their
    /// own.
    pub fn wait_until_empty(&self) {
        let start = Instant::now();
        while addresses_with_unread_bytes().iter().any(|address| self.peers.contains(address)) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for written bytes to be read");
        }
    }
}

/// Returns the local addresses of all sockets whose receive queue is not empty.
fn addresses_with_unread_bytes() -> Vec<SocketAddr> {
    let table = std::fs::read_to_string(SOCKET_TABLE).unwrap();
    table.lines().skip(1).filter_map(unread_address).collect()
}

/// Returns the local address in a row of the table. `None` if the socket's receive queue is empty.
fn unread_address(row: &str) -> Option<SocketAddr> {
    let mut columns = row.split_ascii_whitespace();
    let local_address = columns.nth(1)?;
    let (_, receive_queue) = columns.nth(2)?.split_once(':')?;
    if u64::from_str_radix(receive_queue, 16).ok()? == 0 {
        return None;
    }
    let (address, port) = local_address.split_once(':')?;
    let address = u32::from_str_radix(address, 16).ok()?.to_ne_bytes();
    Some((address, u16::from_str_radix(port, 16).ok()?).into())
}
