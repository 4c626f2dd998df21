//! `mulleinslip demo`. It is the relay itself as well: the stand-ins run in one process, the relay in a second one of
//! the same program, which the environment tells to serve.
mod demo;

fn main() -> std::process::ExitCode {
    if std::env::var_os("ROUTER_CONFIG").is_some() {
        return mulleinslip::main(&[]);
    }
    match demo::run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("mulleinslip demo: {why}");
            std::process::ExitCode::FAILURE
        }
    }
}
