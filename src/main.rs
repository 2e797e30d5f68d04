//! Entry point of the `sprucerudder` command.

use sprucerudder::cmd::{self, Run};
use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command.run().map_or_else(|err| cmd::report(&err), |()| ExitCode::SUCCESS),
        Err(failure) => cmd::report_usage(failure),
    }
}
