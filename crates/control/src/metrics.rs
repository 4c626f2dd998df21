//! The metrics in the Prometheus text format: one line each, with name, labels and value.

use std::fmt;

/// Prefix of each metric's name.
const PREFIX: &str = "edge_router";

/// Number of messages of one class by outcome, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Messages that were delivered.
    pub passed: u64,
    /// Messages that were refused, at once or after they were accepted.
    pub dropped: u64,
    /// Messages that failed.
    pub failed: u64,
}

/// Counts of clients' connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientMetrics {
    /// Number of open connections.
    pub connections: usize,
    /// Number of bytes that requests without an answer take.
    pub input_bytes: usize,
    /// Connections that were dropped unread, as there was no place for them, since the process started.
    pub no_place: u64,
    /// Requests that did not come in time, since the process started.
    pub timed_out: u64,
    /// Incomplete requests that were refused, as their connection or memory was needed, since the process
    /// started.
    pub refused_incomplete: u64,
}

/// The metrics of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Counts by name of the class.
    pub classes: Vec<(String, OutcomeCounts)>,
    /// Number of messages that were written completely to hosts, since the process started.
    pub upstream_tries: u64,
    /// Number of connections to hosts that were established, since the process started.
    pub upstream_connections: u64,
    /// Number of connections on which a host sent bytes that no request asked for, since the process started.
    pub unrequested_responses: u64,
    /// Number of accepted messages that have not ended.
    pub in_progress: usize,
    /// Number of hosts in the list.
    pub known_hosts: usize,
    /// Number of those hosts to which currently nothing would be sent.
    pub skipped_hosts: usize,
    /// The clients' connections.
    pub clients: ClientMetrics,
    /// Resident memory of the process, in bytes; 0 if the system doesn't tell.
    pub resident_bytes: u64,
}

/// Formats the value of a label in quotes, with escapes.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("\"")?;
        for c in self.0.chars() {
            match c {
                '\\' => f.write_str("\\\\")?,
                '"' => f.write_str("\\\"")?,
                '\n' => f.write_str("\\n")?,
                c => write!(f, "{c}")?,
            }
        }
        f.write_str("\"")
    }
}

impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (class, counts) in &self.classes {
            let rows =
                [("passed", counts.passed), ("dropped", counts.dropped), ("bad_gateway", counts.failed)];
            for (outcome, count) in rows {
                let class = Quoted(class);
                writeln!(f, "{PREFIX}_handled_total{{category={class},outcome=\"{outcome}\"}} {count}")?;
            }
        }
        writeln!(f, "{PREFIX}_upstream_tries_total {}", self.upstream_tries)?;
        writeln!(f, "{PREFIX}_upstream_connections_total {}", self.upstream_connections)?;
        writeln!(f, "{PREFIX}_upstream_unrequested_responses_total {}", self.unrequested_responses)?;
        writeln!(f, "{PREFIX}_in_progress {}", self.in_progress)?;
        writeln!(f, "{PREFIX}_known_hosts {}", self.known_hosts)?;
        writeln!(f, "{PREFIX}_skipped_hosts {}", self.skipped_hosts)?;
        writeln!(f, "{PREFIX}_client_connections {}", self.clients.connections)?;
        writeln!(f, "{PREFIX}_client_input_bytes {}", self.clients.input_bytes)?;
        let closed = [
            ("no_place", self.clients.no_place),
            ("timed_out", self.clients.timed_out),
            ("refused_incomplete", self.clients.refused_incomplete),
        ];
        for (reason, count) in closed {
            writeln!(f, "{PREFIX}_client_closed_total{{reason=\"{reason}\"}} {count}")?;
        }
        writeln!(f, "{PREFIX}_resident_bytes {}", self.resident_bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a changed name, label or escape: dashboards and alerts read these lines.
    #[test]
    fn metrics_are_written_in_prometheus_format() {
        let counts = OutcomeCounts { passed: 1, dropped: 2, failed: 3 };
        let metrics = Metrics {
            classes: vec![("o\"r\\d\n".to_string(), counts)],
            upstream_tries: 9,
            upstream_connections: 8,
            unrequested_responses: 7,
            in_progress: 4,
            known_hosts: 5,
            skipped_hosts: 6,
            clients: ClientMetrics {
                connections: 10,
                input_bytes: 11,
                no_place: 12,
                timed_out: 13,
                refused_incomplete: 14,
            },
            resident_bytes: 15,
        };
        let expected = "\
edge_router_handled_total{category=\"o\\\"r\\\\d\\n\",outcome=\"passed\"} 1
edge_router_handled_total{category=\"o\\\"r\\\\d\\n\",outcome=\"dropped\"} 2
edge_router_handled_total{category=\"o\\\"r\\\\d\\n\",outcome=\"bad_gateway\"} 3
edge_router_upstream_tries_total 9
edge_router_upstream_connections_total 8
edge_router_upstream_unrequested_responses_total 7
edge_router_in_progress 4
edge_router_known_hosts 5
edge_router_skipped_hosts 6
edge_router_client_connections 10
edge_router_client_input_bytes 11
edge_router_client_closed_total{reason=\"no_place\"} 12
edge_router_client_closed_total{reason=\"timed_out\"} 13
edge_router_client_closed_total{reason=\"refused_incomplete\"} 14
edge_router_resident_bytes 15
";
        assert_eq!(metrics.to_string(), expected);
    }
}
