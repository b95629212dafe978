//! Loopback addresses that no other process on the machine takes at the same time.

use std::net::{Ipv4Addr, SocketAddr};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports given out to one address.
const PORTS: u32 = 10_000;
/// The first port given out.
const FIRST_PORT: u32 = 20_000;
/// Addresses within one octet.
const OCTET: u32 = 250;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A loopback address with a port that this process has not given out before.
///
/// The address is drawn from the process's id, and connections leave from 127.0.0.1, so neither
/// another process nor an outgoing connection can hold the port.
pub fn next_addr() -> SocketAddr {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = process::id();
    let (a, b) = (1 + pid / OCTET % OCTET, 1 + pid % OCTET);
    let ip = Ipv4Addr::new(127, a as u8, b as u8, (1 + number / PORTS) as u8);
    SocketAddr::from((ip, (FIRST_PORT + number % PORTS) as u16))
}
