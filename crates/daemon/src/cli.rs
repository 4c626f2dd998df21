//! The command line.

use crate::account;
use crate::config;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

const HELP: &str = "\
mulleinslip, a relay that delivers messages to partner systems and gives each one final answer

  mulleinslip                     serve; what it is told stands in the environment:
                                  ROUTER_CONFIG (file), ROUTER_STATE (folder that lasts), and, before the
                                  file's own, ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY
  mulleinslip serve --account     the same, with a line a second in the log that says where slots and time went
  mulleinslip serve --audit       the same as the first, with a line in the log for each step in a message's life
  mulleinslip account LOG...      add such lines up and print them as tables
  mulleinslip demo                serve beside stand-ins on loopback, hand in a few messages, print their ends
  mulleinslip check-config FILE   say whether the file can be served with
  mulleinslip --help | --version
";

/// What the arguments ask for.
pub enum Wanted {
    /// To serve; with accounts in the log or without.
    Serve { account: bool, audit: bool },
    /// This was done, or failed for this reason.
    Done(Result<(), String>),
}

/// Does what the arguments ask for, unless that is to serve.
pub fn run(args: &[String]) -> Wanted {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Wanted::Done(match args[..] {
        [] | ["serve"] => return Wanted::Serve { account: false, audit: false },
        ["serve", "--account"] => return Wanted::Serve { account: true, audit: false },
        ["serve", "--audit"] => return Wanted::Serve { account: false, audit: true },
        ["account", ref logs @ ..] if !logs.is_empty() => account::read(logs).map(|sum| print!("{sum}")),
        ["demo"] => demo(),
        ["check-config", file] => config::check(Path::new(file)).map(|words| println!("{file}: {words}")),
        ["--help" | "-h" | "help"] => {
            print!("{HELP}");
            Ok(())
        }
        ["--version" | "-V"] => {
            println!("mulleinslip {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => Err(format!("{} is no command; see mulleinslip --help", args.join(" "))),
    })
}

/// The demo is a program of its own, so that no installation carries its stand-ins.
fn demo() -> Result<(), String> {
    let this = std::env::current_exe().map_err(|e| format!("this program's file: {e}"))?;
    let there = this.with_file_name("mulleinslip-demo");
    let e = Command::new(&there).exec();
    Err(format!("{}: {e}; cargo build --release -p mulleinslip-demo makes it", there.display()))
}
