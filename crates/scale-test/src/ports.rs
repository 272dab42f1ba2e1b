//! Loopback ports below the ephemeral range. The system does not assign them to outgoing connections, so that
//! a port released during a restart is still free afterwards.
//!
//! Ports are claimed in blocks. A process claims a block by listening on the block's first port until the
//! process ends, so that concurrent runs use different ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use tokio::net::TcpSocket;

use crate::lock::lock;

const LOWEST_PORT: u16 = 16_000;
const BLOCK_COUNT: u16 = 120;
/// Number of ports in a block, including the port that claims the block.
const PORTS_PER_BLOCK: u16 = 128;

/// A claimed block of ports.
struct PortBlock {
    /// Listener on the first port, which keeps other processes from claiming the block.
    _claim: TcpListener,
    next_port: u16,
    end_port: u16,
}

/// The blocks that this process has claimed. Ports come from the last one.
static CLAIMED_BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Returns a loopback address that is not in use, and that later calls in this process do not return again.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut blocks = lock(&CLAIMED_BLOCKS);
    loop {
        let Some(block) = blocks.last_mut().filter(|block| block.next_port < block.end_port) else {
            blocks.push(claim_block()?);
            continue;
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, block.next_port));
        block.next_port += 1;
        // A program that ignores block claims can use the port.
        if can_bind(address) {
            return Ok(address);
        }
    }
}

/// Returns whether an address can be bound.
///
/// The socket never listens: a process that another thread forks meanwhile holds a copy of the socket until
/// `exec`, and a listening copy would keep the address in use after this function returns.
fn can_bind(address: SocketAddr) -> bool {
    let Ok(socket) = TcpSocket::new_v4() else { return false };
    socket.set_reuseaddr(true).is_ok() && socket.bind(address).is_ok()
}

fn claim_block() -> io::Result<PortBlock> {
    for block in 0..BLOCK_COUNT {
        let first = LOWEST_PORT + block * PORTS_PER_BLOCK;
        if let Ok(claim) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
            return Ok(PortBlock { _claim: claim, next_port: first + 1, end_port: first + PORTS_PER_BLOCK });
        }
    }
    let last = LOWEST_PORT + BLOCK_COUNT * PORTS_PER_BLOCK;
    let message = format!("no unclaimed block of ports from {LOWEST_PORT} to {last}");
    Err(io::Error::new(io::ErrorKind::AddrInUse, message))
}
