//! Runs an entry instance.

#![allow(
    missing_docs,
    reason = "the help texts of the grammar are the documentation"
)]

use std::process::ExitCode;

xflags::xflags! {
    /// Runs an entry instance until SIGTERM or SIGINT.
    cmd chicoryrackd {
        /// Settings file in JSON with comments; see docs/SETTINGS.md.
        required settings: String
        /// Validates the settings and exits.
        optional --check
    }
}

fn main() -> ExitCode {
    chicoryrack::logging::start("info");
    let flags = Chicoryrackd::from_env_or_exit();
    let settings = match chicoryrack::conf::read_settings(&flags.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("chicoryrackd: {error}");
            return ExitCode::from(2);
        }
    };
    if flags.check {
        println!("{}: well formed", flags.settings);
        return ExitCode::SUCCESS;
    }
    match actix_rt::System::new().block_on(chicoryrack::daemon::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chicoryrackd: {error}");
            ExitCode::FAILURE
        }
    }
}
