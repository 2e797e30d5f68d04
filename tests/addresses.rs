//! The addresses that test cells use stay free until their processes bind them.

mod common;

use common::Addresses;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};

const COUNT: usize = 300;

#[test]
fn addresses_of_a_cell_are_not_taken_by_anybody_else() {
    let mut first = Addresses::new();
    let mut second = Addresses::new();
    let mut planned: Vec<_> = (0..COUNT).map(|_| first.next()).collect();
    planned.extend((0..COUNT).map(|_| second.next()));
    let listeners: Vec<_> =
        (0..COUNT).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind")).collect();
    let sockets: Vec<_> =
        (0..COUNT).map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind")).collect();
    let bound: Vec<_> = planned.iter().filter_map(|addr| TcpListener::bind(addr).ok()).collect();
    let taken = planned.len() - bound.len();
    assert_eq!(taken, 0, "of {} planned addresses", planned.len());
    let bound: Vec<_> = planned.iter().filter_map(|addr| UdpSocket::bind(addr).ok()).collect();
    assert_eq!(planned.len() - bound.len(), 0, "of {} planned addresses", planned.len());
    drop((listeners, sockets));
}
