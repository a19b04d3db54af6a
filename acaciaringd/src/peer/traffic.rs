//! Traffic statistics of the transport.

use std::collections::HashMap;

use parking_lot::Mutex;
use quinn::Connection;

/// Totals over all connections since the start.
///
/// Bytes are those of UDP payloads, without IP and UDP headers. Failed handshakes are not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Packets sent.
    pub sent_packets: u64,
    /// Packets received.
    pub received_packets: u64,
    /// Open connections.
    pub connections: usize,
}

impl Traffic {
    fn add(&mut self, conn: &Connection) {
        let stats = conn.stats();
        self.sent += stats.udp_tx.bytes;
        self.received += stats.udp_rx.bytes;
        self.sent_packets += stats.udp_tx.datagrams;
        self.received_packets += stats.udp_rx.datagrams;
    }
}

/// All open connections, and the totals of the closed ones.
#[derive(Default)]
pub(super) struct Registry {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    open: HashMap<u64, Connection>,
    closed: Traffic,
}

impl Registry {
    /// Adds an open connection.
    pub fn open(&self, id: u64, conn: Connection) {
        self.inner.lock().open.insert(id, conn);
    }

    /// Removes a closed connection and adds its traffic to the totals.
    pub fn close(&self, id: u64) {
        let mut inner = self.inner.lock();
        if let Some(conn) = inner.open.remove(&id) {
            inner.closed.add(&conn);
        }
    }

    /// Returns all open connections.
    pub fn connections(&self) -> Vec<Connection> {
        self.inner.lock().open.values().cloned().collect()
    }

    /// Returns the totals over all connections, open or closed.
    pub fn traffic(&self) -> Traffic {
        let inner = self.inner.lock();
        let mut sums = inner.closed;
        for conn in inner.open.values() {
            sums.add(conn);
        }
        Traffic { connections: inner.open.len(), ..sums }
    }
}
