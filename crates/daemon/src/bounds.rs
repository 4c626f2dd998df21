//! What follows from the limits of the process: how much each kind of input may take. The sum, also of the two
//! processes of a takeover, stands in docs/CAPACITY.md.

use mulleinslip_http::MAX_LIST_BYTES;

/// Active destinations may take this fraction (one sixteenth) of the memory.
const ACTIVE_MEMORY_DIVISOR: usize = 16;
/// Memory that an active destination takes under traffic, see docs/CAPACITY.md.
const ACTIVE_DESTINATION_BYTES: usize = 4000;
/// Minimum number of active destinations for which there is room.
const MIN_ACTIVE_DESTINATIONS: usize = 1024;
/// A list as received may take this fraction (one eighth) of the memory: while it is parsed it takes four times
/// as much, which is half of the memory, see docs/CAPACITY.md.
const LIST_MEMORY_DIVISOR: usize = 8;
/// Unanswered input of all clients may take this fraction (one thirty-second) of the memory, beside what each
/// connection may hold in any case.
const INPUT_MEMORY_DIVISOR: usize = 32;
/// Minimum of that: room for some large requests at a time.
const MIN_INPUT_BYTES: usize = 1 << 20;
/// Connections of clients may take this fraction (one eighth) of the memory, and connections to hosts as much.
const CONNECTION_MEMORY_DIVISOR: usize = 8;
/// Memory of a client's connection: its task, its state, and the input that it may hold in any case.
const CLIENT_CONNECTION_BYTES: usize = 8 * 1024;
/// Memory of a connection to a host with a call: hyper's buffers with the head of a response, and the task.
const HOST_CONNECTION_BYTES: usize = 32 * 1024;
/// Open messages may take this fraction (one eighth) of the memory.
const MESSAGE_MEMORY_DIVISOR: u64 = 8;
/// Minimum number of connections of either kind for which there is memory.
const MIN_CONNECTIONS: usize = 16;
/// Number of descriptors besides connections of clients and to hosts: standard streams 3, event loop and
/// signals 5, listener and one client above the limit 2, journal 2, discovery 4, notices 2, the configuration
/// 1, the second address with its callers and one above their limit 10, the takeover socket and its copy of
/// the listener 3; the rest is a reserve for the runtime.
const OTHER_DESCRIPTORS: usize = 36;
/// Number of descriptors that a process that takes over has before its first connection; both processes
/// together stay within the limit: standard streams 3, event loop and signals 5, listener 1, second address
/// 1, journal 2, discovery 2, notices 1, the channel 1; the rest is for callers of the second address.
const NEXT_PROCESS_DESCRIPTORS: usize = 20;

/// Bounds of what the process keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of clients' connections.
    pub max_clients: usize,
    /// Maximum number of connections to hosts, idle ones included.
    pub max_host_connections: usize,
    /// Maximum number of bytes of unanswered requests.
    pub max_input_bytes: usize,
    /// Maximum memory of all open messages, if the configuration tells the memory.
    pub max_message_memory: Option<u64>,
    /// Maximum length of a list from discovery.
    pub max_list_bytes: usize,
    /// Maximum number of destinations that the decision module and the carrier know at once.
    pub max_active_destinations: usize,
}

impl Bounds {
    /// Returns the bounds of a process that may open so many descriptors and take so much memory; `None` if the
    /// configuration doesn't tell the memory.
    pub fn new(sockets: usize, memory_bytes: Option<usize>) -> Bounds {
        let connections = sockets.saturating_sub(OTHER_DESCRIPTORS + NEXT_PROCESS_DESCRIPTORS).max(2) / 2;
        let connections_of = |bytes: usize| {
            let in_memory = memory_bytes.map(|memory| memory / CONNECTION_MEMORY_DIVISOR / bytes);
            in_memory.map_or(connections, |in_memory| connections.min(in_memory.max(MIN_CONNECTIONS)))
        };
        let max_message_memory = memory_bytes.map(|memory| memory as u64 / MESSAGE_MEMORY_DIVISOR);
        let memory_bytes = memory_bytes.unwrap_or_default();
        Bounds {
            max_clients: connections_of(CLIENT_CONNECTION_BYTES),
            max_host_connections: connections_of(HOST_CONNECTION_BYTES),
            max_input_bytes: (memory_bytes / INPUT_MEMORY_DIVISOR).max(MIN_INPUT_BYTES),
            max_message_memory,
            max_list_bytes: (memory_bytes / LIST_MEMORY_DIVISOR).max(MAX_LIST_BYTES),
            max_active_destinations: (memory_bytes / ACTIVE_MEMORY_DIVISOR / ACTIVE_DESTINATION_BYTES)
                .max(MIN_ACTIVE_DESTINATIONS),
        }
    }
}

impl std::fmt::Display for Bounds {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Bounds { max_clients, max_host_connections, max_input_bytes, max_list_bytes, .. } = self;
        write!(
            f,
            "{max_clients} clients' connections, {max_host_connections} to hosts, {max_input_bytes} bytes of \
             unanswered requests, lists of {max_list_bytes} bytes, "
        )?;
        match self.max_message_memory {
            Some(bytes) => write!(f, "{bytes} bytes of open messages"),
            None => f.write_str("open messages as MaxOpen and disk_mb allow"),
        }
    }
}

#[cfg(test)]
mod tests;
