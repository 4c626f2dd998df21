//! The relay as a program.

fn main() -> std::process::ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    mulleinslip::main(&args)
}
