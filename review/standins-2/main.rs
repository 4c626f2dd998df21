//! The cases from 6 on: `cases N FOLDER` plays case N and writes FOLDER/record.txt. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod discovery;
mod kit;
mod order;
mod settings;
mod two_versions;
mod waits;

use kit::Record;
use std::path::Path;

/// How a play ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { kit::could_not_run("arguments: NUMBER FOLDER") };
    let record = Record::new(&Path::new(folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    // No play may take longer than 120 s; relays end with this process's children in run.sh.
    std::thread::spawn(|| {
        std::thread::sleep(kit::ms(110_000));
        kit::could_not_run("110 s have passed");
    });
    record.line(format!("case {case}, {}", if trouble { "with the disruption" } else { "without" }));
    let verdict = match case.as_str() {
        "6" => discovery::play_close(&record, trouble),
        "7" => two_versions::play(&record, trouble),
        "8" => discovery::play_slow(&record, trouble),
        "9" => order::play(&record, trouble),
        "10" => waits::play_body(&record, trouble),
        // Shown, and not handed in as a case: see REPORT-2.md.
        "wait-close" => waits::play_close(&record, trouble),
        _ => kit::could_not_run("no such case"),
    };
    let (text, code) = match verdict {
        Verdict::Held(why) => (format!("HELD: {why}"), 0),
        Verdict::Broken(why) => (format!("BROKEN: {why}"), 1),
        Verdict::CouldNotRun(why) => (format!("COULD NOT RUN: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code)
}
