//! The command line: parses the arguments, and runs all commands but `serve`.

use crate::account;
use crate::config;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Command;

const HELP: &str = "\
mulleinslip, a relay that delivers messages to partner systems and gives each one final answer

  mulleinslip                     serve; the environment gives the configuration:
                                  ROUTER_CONFIG (file), ROUTER_STATE (state folder), and ROUTER_NAME,
                                  ROUTER_LISTEN, ROUTER_DISCOVERY, which override the file
  mulleinslip serve --account     serve, and log once a second how slots and time were used
  mulleinslip serve --audit       serve, and log each step of each message
  mulleinslip account LOG...      sum up the lines that serve --account wrote, and print them as tables
  mulleinslip demo                serve with simulated hosts on loopback, and print the outcomes of a few messages
  mulleinslip check-config FILE   check whether the file is a valid configuration
  mulleinslip --help | --version
";

/// Result of parsing the arguments.
pub enum Invocation {
    /// The caller has to serve; `account` and `audit` enable the lines of that name in the log.
    Serve { account: bool, audit: bool },
    /// The command was run, or failed for this reason.
    Done(Result<(), String>),
}

/// Parses the arguments, and runs the command unless it is `serve`.
pub fn run(args: &[String]) -> Invocation {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Invocation::Done(match args[..] {
        [] | ["serve"] => return Invocation::Serve { account: false, audit: false },
        ["serve", "--account"] => return Invocation::Serve { account: true, audit: false },
        ["serve", "--audit"] => return Invocation::Serve { account: false, audit: true },
        ["account", ref logs @ ..] if !logs.is_empty() => account::read(logs).map(|sum| print!("{sum}")),
        ["demo"] => demo(),
        ["check-config", file] => config::check(Path::new(file)).map(|summary| println!("{file}: {summary}")),
        ["--help" | "-h" | "help"] => {
            print!("{HELP}");
            Ok(())
        }
        ["--version" | "-V"] => {
            println!("mulleinslip {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => Err(format!("unknown command: {}; see mulleinslip --help", args.join(" "))),
    })
}

/// Runs the demo. It is a program of its own, so that an installation does not contain its simulated hosts.
fn demo() -> Result<(), String> {
    let program =
        std::env::current_exe().map_err(|e| format!("cannot find the path of this program: {e}"))?;
    let demo = program.with_file_name("mulleinslip-demo");
    let error = Command::new(&demo).exec();
    Err(format!(
        "cannot run {}: {error}; cargo build --release -p mulleinslip-demo builds it",
        demo.display()
    ))
}
