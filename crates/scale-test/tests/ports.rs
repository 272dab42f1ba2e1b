//! Ports of runs side by side.

use std::collections::BTreeSet;
use std::net::TcpListener;

use reeddock_scale_test::ports;

#[test]
fn no_port_is_given_out_twice_and_blocks_follow_each_other() {
    let given: Vec<u16> = (0..300).map(|_| ports::free().unwrap().port()).collect();
    let distinct: BTreeSet<u16> = given.iter().copied().collect();
    assert_eq!(distinct.len(), 300);
    // The block's claim is held, and its ports are free to take.
    let claims = distinct.iter().filter(|port| (*port - 16_000) % 128 == 0);
    assert_eq!(claims.count(), 0);
    assert!(TcpListener::bind(("127.0.0.1", given[0])).is_ok());
}
