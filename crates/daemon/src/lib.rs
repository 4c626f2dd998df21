//! mulleinslip, the relay on real sockets: the program as a library, so that others can be it as well.

mod account;
mod cli;
mod config;
mod hearsay;
mod operate;
mod serve;
mod takeover;

use std::process::ExitCode;

/// The program, with these arguments.
pub fn main(args: &[String]) -> ExitCode {
    let done = match cli::run(args) {
        cli::Wanted::Serve { account, audit } => serve::run(account, audit),
        cli::Wanted::Done(done) => done,
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            serve::log(&why.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
