//! mulleinslip, the relay on real sockets. The program is a library so that other programs, such as the demo,
//! can run it.

mod account;
mod bounds;
mod cli;
mod config;
mod listeners;
mod log;
mod membership_updates;
mod process_control;
mod serve;
mod takeover;

use std::process::ExitCode;

/// Runs the program with these arguments.
pub fn main(args: &[String]) -> ExitCode {
    let result = match cli::run(args) {
        cli::Invocation::Serve { account, audit } => serve::run(account, audit),
        cli::Invocation::Done(result) => result,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::log(&why.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
