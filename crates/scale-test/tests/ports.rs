//! Ports of runs side by side.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use reeddock_scale_test::ports;

#[test]
fn no_port_is_given_out_twice_and_blocks_follow_each_other() {
    let given: Vec<u16> = (0..300).map(|_| ports::free_address().unwrap().port()).collect();
    let distinct: BTreeSet<u16> = given.iter().copied().collect();
    assert_eq!(distinct.len(), 300);
    // The block's claim is held, and its ports are free to take.
    let claims = distinct.iter().filter(|port| (*port - 16_000) % 128 == 0);
    assert_eq!(claims.count(), 0);
    assert!(TcpListener::bind(("127.0.0.1", given[0])).is_ok());
}

/// Ports that are tried while processes start: with a check that listens, a few of them were refused in each run.
const PORTS_TRIED: usize = 2_000;
const STARTING_THREADS: usize = 8;

#[test]
fn a_free_port_can_be_listened_on_at_once_while_other_threads_start_processes() {
    let tried_all = AtomicBool::new(false);
    let refused = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !tried_all.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            });
        }
        let refusals =
            (0..PORTS_TRIED).filter_map(|_| TcpListener::bind(ports::free_address().unwrap()).err());
        let refused = refusals.count();
        tried_all.store(true, Ordering::Relaxed);
        refused
    });
    assert_eq!(refused, 0);
}
