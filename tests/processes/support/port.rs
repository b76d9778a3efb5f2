//! Listening ports of the programs that tests start.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

/// First port of the first slot. All slots lie below the ephemeral range (32768 and up).
const FIRST_PORT: u16 = 10_000;
/// Ports of one slot. A test program reserves a slot by listening on its first port.
const PORTS_PER_SLOT: u16 = 400;
/// Maximum number of concurrent test programs.
const SLOT_COUNT: u16 = 25;

/// Returns an address with a port on which nothing listens. An ephemeral port could be assigned to
/// an outgoing connection before the program binds it, so these ports lie below that range.
pub fn free_addr() -> SocketAddr {
    static SLOT: OnceLock<(u16, TcpListener)> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let (base, _) = SLOT.get_or_init(reserve_slot);
    loop {
        let offset = 1 + NEXT.fetch_add(1, Ordering::SeqCst) % (PORTS_PER_SLOT - 1);
        let addr = SocketAddr::from(([127, 0, 0, 1], base + offset));
        // A listener as a probe could be inherited by a program that another thread starts, and
        // would occupy the port until that program's exec.
        if TcpStream::connect(addr).is_err() {
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
