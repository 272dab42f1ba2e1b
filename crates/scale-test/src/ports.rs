//! Ports below the range that systems assign to outgoing connections, so that one which is released for a while, as
//! in a restart, is still free when it is wanted again.
//!
//! They are claimed in blocks. The process that holds a block listens on its first port until it ends, so that runs
//! side by side never so much as try each other's ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use tokio::net::TcpSocket;

use crate::lock::lock;

/// The first port of the first block.
const FIRST_PORT: u16 = 16_000;
const BLOCKS: u16 = 120;
/// Ports of a block, with the one that claims it.
const BLOCK_SIZE: u16 = 128;

/// A claimed block of ports.
struct Block {
    /// Held so that no other process takes the block.
    _claim: TcpListener,
    next: u16,
    end: u16,
}

/// The blocks of this process; the last one is in use.
static CLAIMED_BLOCKS: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// An address on loopback that nobody listens on, and that this process does not return again.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut blocks = lock(&CLAIMED_BLOCKS);
    loop {
        let Some(block) = blocks.last_mut().filter(|block| block.next < block.end) else {
            blocks.push(claim_block()?);
            continue;
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, block.next));
        block.next += 1;
        // Other programs may have taken it.
        if can_bind(address) {
            return Ok(address);
        }
    }
}

/// Whether an address can be bound.
///
/// The socket never listens: a process that another thread starts meanwhile holds a copy of it until its `exec`, and a
/// copy that listens would keep the address in use for the caller to whom it was just reported as free.
fn can_bind(address: SocketAddr) -> bool {
    let Ok(socket) = TcpSocket::new_v4() else { return false };
    socket.set_reuseaddr(true).is_ok() && socket.bind(address).is_ok()
}

fn claim_block() -> io::Result<Block> {
    for block in 0..BLOCKS {
        let first = FIRST_PORT + block * BLOCK_SIZE;
        if let Ok(claim) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
            return Ok(Block { _claim: claim, next: first + 1, end: first + BLOCK_SIZE });
        }
    }
    let last = FIRST_PORT + BLOCKS * BLOCK_SIZE;
    let message = format!("no free block of ports from {FIRST_PORT} to {last}");
    Err(io::Error::new(io::ErrorKind::AddrInUse, message))
}
