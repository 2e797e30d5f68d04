//! The addresses that `common::Addresses` hands out must stay free until the processes of a test
//! cell bind them.

mod common;

use common::Addresses;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};

const ADDRESS_COUNT: usize = 300;

#[test]
fn planned_addresses_are_not_taken_by_other_sockets() {
    let mut first = Addresses::new();
    let mut second = Addresses::new();
    let mut planned: Vec<_> = (0..ADDRESS_COUNT).map(|_| first.next()).collect();
    planned.extend((0..ADDRESS_COUNT).map(|_| second.next()));
    let listeners: Vec<_> = (0..ADDRESS_COUNT)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind"))
        .collect();
    let sockets: Vec<_> = (0..ADDRESS_COUNT)
        .map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind"))
        .collect();
    let bound: Vec<_> = planned.iter().filter_map(|addr| TcpListener::bind(addr).ok()).collect();
    let taken = planned.len() - bound.len();
    assert_eq!(taken, 0, "TCP ports taken of {} planned addresses", planned.len());
    let bound: Vec<_> = planned.iter().filter_map(|addr| UdpSocket::bind(addr).ok()).collect();
    assert_eq!(
        planned.len() - bound.len(),
        0,
        "UDP ports taken of {} planned addresses",
        planned.len()
    );
    drop((listeners, sockets));
}
