//! The log of the process.

/// Writes a line to the log, which goes to standard error.
pub fn log(text: &str) {
    eprintln!("mulleinslip: {text}");
}
