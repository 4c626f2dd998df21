//! Demonstration of the relay. The program runs as two processes: the first has the stand-ins and starts the
//! second, which is the relay. `ROUTER_CONFIG` in the environment makes a process the relay.
mod demo;

fn main() -> std::process::ExitCode {
    if std::env::var_os("ROUTER_CONFIG").is_some() {
        return mulleinslip::main(&[]);
    }
    match demo::run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mulleinslip demo: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
