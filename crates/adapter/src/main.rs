//! Adapter between the simulator's wire format and the decision module: reads batches of events from standard
//! input, passes them to the relay instances and writes their actions to standard output.
mod wire;

use linenhall::{Action, Event, Relay};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A relay instance and the events of the current batch that it has not handled yet.
#[derive(Default)]
struct Instance {
    relay: Option<Relay>,
    inbox: Vec<Event>,
}

/// A parsed line of a batch.
enum Line {
    Select(String),
    Start(Box<(u64, linenhall::Settings)>),
    Destroy,
    /// Start of a numbered list: its slot and the number of entries that follow.
    List(usize, usize),
    Discovery(wire::Update),
    Event(Event),
}

fn parse(line: &str) -> Result<Line, String> {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    Ok(match word {
        "SELECT" => Line::Select(wire::Fields::new(rest).only_text()?),
        "NEW_INSTANCE" => Line::Start(Box::new(wire::start(rest)?)),
        "DESTROY" => Line::Destroy,
        "DIRECTORY" => {
            let mut fields = wire::Fields::new(rest);
            let list = (fields.number("Slot")?, fields.number("Elements")?);
            fields.end()?;
            Line::List(list.0, list.1)
        }
        "DISCOVERY" => Line::Discovery(wire::update(rest)?),
        _ => Line::Event(wire::event(word, rest)?),
    })
}

/// State of the adapter process: its relay instances and numbered lists.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<usize, Vec<linenhall::Endpoint>>,
    /// Instances selected in the current batch, in the order of their first selection.
    selected_order: Vec<String>,
    /// The same instances as a set.
    selected: BTreeSet<String>,
    current: Option<String>,
    /// The list that is being read: slot, missing entries, and entries so far.
    incomplete_list: Option<(usize, usize, Vec<linenhall::Endpoint>)>,
}

impl Adapter {
    /// Handles one line of a batch.
    fn handle_line(&mut self, line: &str) -> Result<(), String> {
        if let Some((slot, missing, mut entries)) = self.incomplete_list.take() {
            let rest = line.strip_prefix("ENTRY ").ok_or("ENTRY expected in a DIRECTORY")?;
            entries.push(wire::entry(rest)?);
            self.fill_list(slot, missing - 1, entries);
            return Ok(());
        }
        match parse(line)? {
            Line::Select(name) => {
                if self.selected.insert(name.clone()) {
                    self.selected_order.push(name.clone());
                }
                self.current = Some(name);
            }
            Line::List(slot, count) => self.fill_list(slot, count, Vec::new()),
            Line::Start(start) => {
                let name = self.current.clone().ok_or("no SELECT before NEW_INSTANCE")?;
                let relay = Some(Relay::new(start.1, start.0));
                self.instances.insert(name, Instance { relay, inbox: Vec::new() });
            }
            Line::Destroy => {
                let name = self.current.as_ref().ok_or("no SELECT before DESTROY")?;
                self.instances.remove(name).ok_or_else(|| format!("unknown instance {name}"))?;
            }
            Line::Discovery(update) => {
                let list_update = update.resolve(&self.lists)?;
                self.inbox()?.push(Event::ListUpdate(list_update));
            }
            Line::Event(event) => self.inbox()?.push(event),
        }
        Ok(())
    }

    /// Stores a list, or waits for its missing entries.
    fn fill_list(&mut self, slot: usize, missing: usize, entries: Vec<linenhall::Endpoint>) {
        if missing == 0 {
            self.lists.insert(slot, entries);
        } else {
            self.incomplete_list = Some((slot, missing, entries));
        }
    }

    /// Returns the unhandled events of the selected instance.
    fn inbox(&mut self) -> Result<&mut Vec<Event>, String> {
        let name = self.current.as_ref().ok_or("no SELECT before an event")?;
        let found = self.instances.get_mut(name).ok_or_else(|| format!("unknown instance {name}"))?;
        Ok(&mut found.inbox)
    }

    /// Lets the selected instances handle their events and writes their actions, as the reply to a batch.
    fn write_reply(&mut self, now: f64, number: &str, out: &mut impl Write) -> io::Result<()> {
        self.selected.clear();
        for name in std::mem::take(&mut self.selected_order) {
            let Some(instance) = self.instances.get_mut(&name) else {
                continue;
            };
            let Some(relay) = instance.relay.as_mut() else {
                continue;
            };
            let events = std::mem::take(&mut instance.inbox);
            let mut actions: Vec<Action> = Vec::new();
            let result = catch_unwind(AssertUnwindSafe(|| relay.handle(now, &events, &mut actions)));
            if let Err(panic) = result {
                let text = panic
                    .downcast_ref::<String>()
                    .cloned()
                    .or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
                let text = text.unwrap_or_else(|| "panic".into()).replace('\n', " ");
                writeln!(out, "AT {name}\nGIVE_IN {text}")?;
                continue;
            }
            if !actions.is_empty() {
                writeln!(out, "AT {name}")?;
            }
            for action in &actions {
                writeln!(out, "{}", wire::action(action))?;
            }
        }
        writeln!(out, "YIELD {number}")?;
        out.flush()
    }
}

fn run() -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut out = io::BufWriter::new(io::stdout().lock());
    // Clock and number of the batch that is being read.
    let mut batch: Option<(f64, String)> = None;
    let mut line_count = 0;
    for line in io::stdin().lock().lines() {
        let error = |batch: &Option<(f64, String)>, line_count: usize, reason: &str| {
            let number = batch.as_ref().map_or("-", |b| b.1.as_str());
            format!("batch {number}, line {line_count}: {reason}")
        };
        line_count += 1;
        let line = line.map_err(|e| error(&batch, line_count, &e.to_string()))?;
        let line = line.trim_end_matches('\r');
        let result = match &batch {
            None => wire::mark(line).map(|mark| {
                batch = Some(mark);
                line_count = 1;
            }),
            Some((now, number)) if line == "OVER_TO_YOU" => {
                if adapter.incomplete_list.is_some() {
                    Err("DIRECTORY ends before its last ENTRY".to_string())
                } else {
                    adapter.current = None;
                    adapter.write_reply(*now, number, &mut out).map_err(|e| e.to_string())?;
                    batch = None;
                    line_count = 0;
                    Ok(())
                }
            }
            Some(_) => adapter.handle_line(line),
        };
        result.map_err(|reason| error(&batch, line_count, &reason))?;
    }
    match batch {
        Some((_, number)) => Err(format!("batch {number}, line {line_count}: input ends inside a batch")),
        None => Ok(()),
    }
}

fn main() {
    if let Err(reason) = run() {
        eprintln!("linenhall-adapter: {reason}");
        std::process::exit(2);
    }
}
