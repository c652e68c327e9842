//! The command line for operators.

use std::process::ExitCode;

use chicoryrack::ctl;

fn main() -> ExitCode {
    let flags = ctl::Chicoryctl::from_env_or_exit();
    match actix_rt::System::new().block_on(ctl::run(&flags)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("chicoryctl: {error}");
            ExitCode::from(error.exit_code() as u8)
        }
    }
}
