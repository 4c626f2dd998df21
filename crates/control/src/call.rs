//! The commands of the second address and their answers.

use crate::metrics::Metrics;

/// Maximum length of a line, including its end. The longest command has nine characters.
pub const MAX_LINE_BYTES: usize = 128;

/// The operations that the process offers to the second address.
pub trait RelayControl {
    /// Returns whether this process can serve.
    ///
    /// # Errors
    /// Returns the reason in a few words, without a line break, if it can't.
    fn check(&self) -> Result<(), &'static str>;

    /// Returns the current metrics.
    fn metrics(&self) -> Metrics;

    /// Starts or ends the drain, in which clients are sent elsewhere. Idempotent.
    ///
    /// # Errors
    /// Returns the reason, as [`RelayControl::check`] does.
    fn drain(&self, on: bool) -> Result<(), &'static str>;
}

/// Returns the complete answer to one line. It begins with `+OK` or `-ERR`.
pub fn answer(line: &[u8], relay: &dyn RelayControl) -> String {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    match line.trim_ascii() {
        b"check" => result_line(relay.check()),
        b"vars" => format!("+OK\n{}.\n", relay.metrics()),
        b"drain-on" => result_line(relay.drain(true)),
        b"drain-off" => result_line(relay.drain(false)),
        _ => "-ERR no such call; there are check, vars, drain-on, drain-off\n".into(),
    }
}

fn result_line(result: Result<(), &'static str>) -> String {
    result.map_or_else(|why| format!("-ERR {why}\n"), |()| "+OK\n".into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::metrics::OutcomeCounts;
    use std::cell::Cell;

    /// A relay with a fixed state, which records the last call of `drain`.
    struct FixedRelay {
        state: Result<(), &'static str>,
        drained: Cell<Option<bool>>,
    }

    impl RelayControl for FixedRelay {
        fn check(&self) -> Result<(), &'static str> {
            self.state
        }
        fn metrics(&self) -> Metrics {
            let classes = vec![("a".into(), OutcomeCounts { passed: 812, ..OutcomeCounts::default() })];
            Metrics { classes, in_progress: 14, ..Metrics::default() }
        }
        fn drain(&self, on: bool) -> Result<(), &'static str> {
            self.drained.set(Some(on));
            self.state
        }
    }

    /// Guards against a changed command or answer: the tools of on-call staff match both. A process that
    /// can't serve has to give the reason.
    #[test]
    fn each_command_gets_its_answer() {
        let mut relay = FixedRelay { state: Err("starting"), drained: Cell::default() };
        assert_eq!(answer(b"check\n", &relay), "-ERR starting\n");
        assert_eq!(answer(b"drain-on\n", &relay), "-ERR starting\n");
        relay.state = Ok(());
        assert_eq!(answer(b"check\r\n", &relay), "+OK\n");
        assert_eq!(
            answer(b"check", &relay),
            "+OK\n",
            "a line without a line break at its end was not accepted"
        );
        assert_eq!(answer(b"drain-on\n", &relay), "+OK\n");
        assert_eq!(relay.drained.get(), Some(true));
        assert_eq!(answer(b"drain-off\n", &relay), "+OK\n");
        assert_eq!(relay.drained.get(), Some(false));
        let vars = answer(b"vars\n", &relay);
        assert!(vars.starts_with("+OK\n") && vars.ends_with("\n.\n"));
        assert!(vars.contains("edge_router_handled_total{category=\"a\",outcome=\"passed\"} 812\n"));
    }

    /// Guards against a malformed line that is taken for a command: a drain by mistake would send all clients
    /// elsewhere.
    #[test]
    fn unknown_command_gets_error_line_and_changes_nothing() {
        let relay = FixedRelay { state: Ok(()), drained: Cell::default() };
        for line in
            [&b""[..], b"\n", b"DRAIN-ON\n", b"drain-on now\n", b"drain on\n", b"\0\xff\n", b"check\nvars\n"]
        {
            let reply = answer(line, &relay);
            assert!(
                reply.starts_with("-ERR ") && reply.find('\n') == Some(reply.len() - 1),
                "{line:?} was answered with {reply}"
            );
        }
        assert_eq!(relay.drained.get(), None);
    }
}
