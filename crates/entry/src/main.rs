//! The entry process and the operator's commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    cassiawheel::cli::main()
}
