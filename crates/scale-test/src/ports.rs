//! Ports that nobody is given by chance: below those that systems deal out, so that one which is let go for a
//! while, as in a restart, is still free when it is wanted again.
//!
//! They are claimed in blocks. Whoever holds a block listens on its first port for as long as the process lasts,
//! so that runs side by side never so much as try each other's ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

const FIRST: u16 = 16_000;
const BLOCKS: u16 = 120;
/// Ports of a block, with the one that claims it.
const BLOCK: u16 = 128;

/// The block that ports are given out of.
struct Block {
    _claim: TcpListener,
    next: u16,
    end: u16,
}

/// The blocks of this process; the last one is in use.
static CLAIMED: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// An address on loopback that nobody listens on, and that this process does not give out again.
pub fn free() -> io::Result<SocketAddr> {
    let mut claimed = CLAIMED.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let Some(block) = claimed.last_mut().filter(|block| block.next < block.end) else {
            claimed.push(claim()?);
            continue;
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, block.next));
        block.next += 1;
        // Other programs may have taken it.
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

fn claim() -> io::Result<Block> {
    for block in 0..BLOCKS {
        let first = FIRST + block * BLOCK;
        if let Ok(claim) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
            return Ok(Block { _claim: claim, next: first + 1, end: first + BLOCK });
        }
    }
    let last = FIRST + BLOCKS * BLOCK;
    Err(io::Error::new(io::ErrorKind::AddrInUse, format!("no free block of ports from {FIRST} to {last}")))
}
