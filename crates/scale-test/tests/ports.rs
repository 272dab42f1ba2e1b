//! Concurrent runs must not get the same ports, or ports that are still in use.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use reeddock_scale_test::ports::free_address;

#[test]
fn ports_are_distinct_across_blocks_and_skip_claimed_first_ports() {
    let ports: Vec<u16> = (0..300).map(|_| free_address().unwrap().port()).collect();
    let distinct: BTreeSet<u16> = ports.iter().copied().collect();
    assert_eq!(distinct.len(), 300);
    // The listener that claims a block uses the block's first port, which is never returned. Returned ports
    // can be bound.
    let claimed = distinct.iter().filter(|port| (*port - 16_000) % 128 == 0);
    assert_eq!(claimed.count(), 0);
    assert!(TcpListener::bind(("127.0.0.1", ports[0])).is_ok());
}

const PORTS_TRIED: usize = 2_000;
const STARTING_THREADS: usize = 8;

#[test]
fn free_address_can_be_bound_while_other_threads_start_processes() {
    let tried_all = AtomicBool::new(false);
    let failed_binds = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !tried_all.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            });
        }
        let bind_errors = (0..PORTS_TRIED).filter_map(|_| TcpListener::bind(free_address().unwrap()).err());
        let failed_binds = bind_errors.count();
        tried_all.store(true, Ordering::Relaxed);
        failed_binds
    });
    assert_eq!(failed_binds, 0);
}
