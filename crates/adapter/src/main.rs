//! The wire adapter: reads batches of events, hands them to the instances, writes their actions.
//! It decides nothing.
mod wire;

use linenhall::{Action, Event, Relay};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// An instance and the events of this batch that it has not handled yet.
#[derive(Default)]
struct Instance {
    relay: Option<Relay>,
    inbox: Vec<Event>,
}

/// What one line of a batch says.
enum Line {
    Select(String),
    Start(Box<(u64, linenhall::Settings)>),
    Destroy,
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
            let mut f = wire::Fields::new(rest);
            let list = (f.number("Slot")?, f.number("Elements")?);
            f.end()?;
            Line::List(list.0, list.1)
        }
        "DISCOVERY" => Line::Discovery(wire::update(rest)?),
        _ => Line::Event(wire::event(word, rest)?),
    })
}

/// One process: its instances and numbered lists.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<usize, Vec<linenhall::Endpoint>>,
    order: Vec<String>,
    seen: BTreeSet<String>,
    current: Option<String>,
    filling: Option<(usize, usize, Vec<linenhall::Endpoint>)>,
}

impl Adapter {
    fn line(&mut self, line: &str) -> Result<(), String> {
        if let Some((slot, left, mut entries)) = self.filling.take() {
            let rest = line.strip_prefix("ENTRY ").ok_or("ENTRY expected in a DIRECTORY")?;
            entries.push(wire::entry(rest)?);
            self.fill(slot, left - 1, entries);
            return Ok(());
        }
        match parse(line)? {
            Line::Select(name) => {
                if self.seen.insert(name.clone()) {
                    self.order.push(name.clone());
                }
                self.current = Some(name);
            }
            Line::List(slot, count) => self.fill(slot, count, Vec::new()),
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
                let news = update.resolve(&self.lists)?;
                self.inbox()?.push(Event::ListUpdate(news));
            }
            Line::Event(event) => self.inbox()?.push(event),
        }
        Ok(())
    }

    fn fill(&mut self, slot: usize, left: usize, entries: Vec<linenhall::Endpoint>) {
        if left == 0 {
            self.lists.insert(slot, entries);
        } else {
            self.filling = Some((slot, left, entries));
        }
    }

    fn inbox(&mut self) -> Result<&mut Vec<Event>, String> {
        let name = self.current.as_ref().ok_or("no SELECT before an event")?;
        let found = self.instances.get_mut(name).ok_or_else(|| format!("unknown instance {name}"))?;
        Ok(&mut found.inbox)
    }

    fn reply(&mut self, now: f64, number: &str, out: &mut impl Write) -> io::Result<()> {
        self.seen.clear();
        for name in std::mem::take(&mut self.order) {
            let Some(instance) = self.instances.get_mut(&name) else {
                continue;
            };
            let Some(relay) = instance.relay.as_mut() else {
                continue;
            };
            let events = std::mem::take(&mut instance.inbox);
            let mut actions: Vec<Action> = Vec::new();
            let run = catch_unwind(AssertUnwindSafe(|| relay.handle(now, &events, &mut actions)));
            if let Err(cause) = run {
                let text = cause
                    .downcast_ref::<String>()
                    .cloned()
                    .or_else(|| cause.downcast_ref::<&str>().map(|s| s.to_string()));
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
    let mut batch: Option<(f64, String)> = None;
    let mut count = 0;
    for line in io::stdin().lock().lines() {
        let fail = |batch: &Option<(f64, String)>, count: usize, why: &str| {
            let number = batch.as_ref().map_or("-", |b| b.1.as_str());
            format!("batch {number}, line {count}: {why}")
        };
        count += 1;
        let line = line.map_err(|e| fail(&batch, count, &e.to_string()))?;
        let line = line.trim_end_matches('\r');
        let step = match &batch {
            None => wire::mark(line).map(|mark| {
                batch = Some(mark);
                count = 1;
            }),
            Some((now, number)) if line == "OVER_TO_YOU" => {
                if adapter.filling.is_some() {
                    Err("DIRECTORY ends before its last ENTRY".to_string())
                } else {
                    adapter.current = None;
                    adapter.reply(*now, number, &mut out).map_err(|e| e.to_string())?;
                    batch = None;
                    count = 0;
                    Ok(())
                }
            }
            Some(_) => adapter.line(line),
        };
        step.map_err(|why| fail(&batch, count, &why))?;
    }
    match batch {
        Some((_, number)) => Err(format!("batch {number}, line {count}: input ends inside a batch")),
        None => Ok(()),
    }
}

fn main() {
    if let Err(why) = run() {
        eprintln!("linenhall-adapter: {why}");
        std::process::exit(2);
    }
}
