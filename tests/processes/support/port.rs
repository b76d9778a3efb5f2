//! Ports for the programs that tests start.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

/// The first port of all slots.
const FIRST_PORT: u16 = 10_000;
/// Ports of one test program; its first one is held while it runs, as its claim to the rest.
const PORTS_PER_SLOT: u16 = 400;
/// Test programs that can run at a time.
const SLOT_COUNT: u16 = 25;

/// A port on which nothing listens now.
///
/// Guards against "address already in use" at a program's start: a port that the system picks
/// may be given to an outgoing connection before the program listens on it. These lie below the
/// range that the system picks from (32768 and up), and no other test program uses the slot.
pub fn free_addr() -> SocketAddr {
    static SLOT: OnceLock<(u16, TcpListener)> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let (base, _) = SLOT.get_or_init(reserve_slot);
    loop {
        let offset = 1 + NEXT.fetch_add(1, Ordering::SeqCst) % (PORTS_PER_SLOT - 1);
        let addr = SocketAddr::from(([127, 0, 0, 1], base + offset));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn reserve_slot() -> (u16, TcpListener) {
    (0..SLOT_COUNT)
        .map(|slot| FIRST_PORT + slot * PORTS_PER_SLOT)
        .find_map(|base| Some((base, TcpListener::bind(("127.0.0.1", base)).ok()?)))
        .expect("a free slot of ports")
}
