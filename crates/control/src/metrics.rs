//! The figures, in the text form of Prometheus: a name, labels, a value, a line each.

use std::fmt;

const PREFIX: &str = "edge_router";

/// How messages of one class ended, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Delivered.
    pub passed: u64,
    /// Refused, at once or after they were taken on.
    pub dropped: u64,
    /// Failed.
    pub failed: u64,
}

/// What is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// By name of the class.
    pub classes: Vec<(String, OutcomeCounts)>,
    /// Messages written whole to hosts, since the process started.
    pub upstream_tries: u64,
    /// Messages taken on and not ended.
    pub in_progress: usize,
    /// Hosts in the list.
    pub known_hosts: usize,
    /// Those of them to which nothing would be sent just now.
    pub skipped_hosts: usize,
}

/// A label's value, quoted.
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
        for (class, ends) in &self.classes {
            let rows = [("passed", ends.passed), ("dropped", ends.dropped), ("bad_gateway", ends.failed)];
            for (outcome, count) in rows {
                let class = Quoted(class);
                writeln!(f, "{PREFIX}_handled_total{{category={class},outcome=\"{outcome}\"}} {count}")?;
            }
        }
        writeln!(f, "{PREFIX}_upstream_tries_total {}", self.upstream_tries)?;
        writeln!(f, "{PREFIX}_in_progress {}", self.in_progress)?;
        writeln!(f, "{PREFIX}_known_hosts {}", self.known_hosts)?;
        writeln!(f, "{PREFIX}_skipped_hosts {}", self.skipped_hosts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_for_each_figure() {
        let ends = OutcomeCounts { passed: 1, dropped: 2, failed: 3 };
        let (classes, upstream_tries) = (vec![("o\"r\\d\n".to_string(), ends)], 9);
        let metrics = Metrics { classes, upstream_tries, in_progress: 4, known_hosts: 5, skipped_hosts: 6 };
        let expected = "\
edge_router_handled_total{category=\"o\\\"r\\\\d\\n\",outcome=\"passed\"} 1
edge_router_handled_total{category=\"o\\\"r\\\\d\\n\",outcome=\"dropped\"} 2
edge_router_handled_total{category=\"o\\\"r\\\\d\\n\",outcome=\"bad_gateway\"} 3
edge_router_upstream_tries_total 9
edge_router_in_progress 4
edge_router_known_hosts 5
edge_router_skipped_hosts 6
";
        assert_eq!(metrics.to_string(), expected);
    }
}
