//! The command line.

use sprucerudder::cmd::{self, Run};
use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::options().run().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => cmd::report(&err),
    }
}
