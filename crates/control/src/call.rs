//! What can be called, and what is answered.

use crate::metrics::Metrics;

/// The longest line that is read, its end among it; the longest call has nine characters.
pub const MOST_LINE: usize = 128;

/// What is operated: the process.
pub trait RelayControl {
    /// Whether this process can serve, and else why not.
    ///
    /// # Errors
    /// A few words, without a line break.
    fn check(&self) -> Result<(), &'static str>;

    /// The figures as they stand.
    fn metrics(&self) -> Metrics;

    /// Sends clients away, or takes them again. Asking for what is the case already does no harm.
    ///
    /// # Errors
    /// As [`RelayControl::check`].
    fn drain(&self, on: bool) -> Result<(), &'static str>;
}

/// The whole answer to one line. It begins with `+OK` or `-ERR`.
pub fn answer(line: &[u8], relay: &dyn RelayControl) -> String {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    match line.trim_ascii() {
        b"check" => done(relay.check()),
        b"vars" => format!("+OK\n{}.\n", relay.metrics()),
        b"drain-on" => done(relay.drain(true)),
        b"drain-off" => done(relay.drain(false)),
        _ => "-ERR no such call; there are check, vars, drain-on, drain-off\n".into(),
    }
}

fn done(done: Result<(), &'static str>) -> String {
    done.map_or_else(|why| format!("-ERR {why}\n"), |()| "+OK\n".into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::metrics::OutcomeCounts;
    use std::cell::Cell;

    struct Fixed {
        serves: Result<(), &'static str>,
        drained: Cell<Option<bool>>,
    }

    impl RelayControl for Fixed {
        fn check(&self) -> Result<(), &'static str> {
            self.serves
        }
        fn metrics(&self) -> Metrics {
            let classes = vec![("a".into(), OutcomeCounts { passed: 812, ..OutcomeCounts::default() })];
            Metrics { classes, in_progress: 14, ..Metrics::default() }
        }
        fn drain(&self, on: bool) -> Result<(), &'static str> {
            self.drained.set(Some(on));
            self.serves
        }
    }

    #[test]
    fn each_call_has_its_answer() {
        let mut relay = Fixed { serves: Err("starting"), drained: Cell::default() };
        assert_eq!(answer(b"check\n", &relay), "-ERR starting\n");
        assert_eq!(answer(b"drain-on\n", &relay), "-ERR starting\n");
        relay.serves = Ok(());
        assert_eq!(answer(b"check\r\n", &relay), "+OK\n");
        assert_eq!(answer(b"check", &relay), "+OK\n", "the end of what is sent ends a line too");
        assert_eq!(answer(b"drain-on\n", &relay), "+OK\n");
        assert_eq!(relay.drained.get(), Some(true));
        assert_eq!(answer(b"drain-off\n", &relay), "+OK\n");
        assert_eq!(relay.drained.get(), Some(false));
        let vars = answer(b"vars\n", &relay);
        assert!(vars.starts_with("+OK\n") && vars.ends_with("\n.\n"));
        assert!(vars.contains("edge_router_handled_total{category=\"a\",outcome=\"passed\"} 812\n"));
    }

    #[test]
    fn anything_else_is_turned_away_in_one_line_and_changes_nothing() {
        let relay = Fixed { serves: Ok(()), drained: Cell::default() };
        for line in
            [&b""[..], b"\n", b"DRAIN-ON\n", b"drain-on now\n", b"drain on\n", b"\0\xff\n", b"check\nvars\n"]
        {
            let said = answer(line, &relay);
            assert!(said.starts_with("-ERR ") && said.find('\n') == Some(said.len() - 1), "{line:?}: {said}");
        }
        assert_eq!(relay.drained.get(), None);
    }
}
