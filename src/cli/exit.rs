//! Exit codes.

use {super::RunError, std::process::ExitCode};

/// Something went wrong while running.
const FAILED: u8 = 1;
/// Bad settings, a bad document or bad usage.
const INVALID_INPUT: u8 = 2;
/// The entry could not be reached.
const UNREACHABLE: u8 = 3;
/// The entry refused.
const REFUSED: u8 = 4;

/// Reports an error on standard error and picks the exit code for it.
pub(crate) fn exit_code(result: Result<(), RunError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{error}");
    let code = match error {
        RunError::Conf(_) | RunError::Usage(_) | RunError::InvalidDocument(_) => INVALID_INPUT,
        RunError::Unreachable(_) => UNREACHABLE,
        RunError::Refused(_) => REFUSED,
        RunError::Listen(..)
        | RunError::Metrics(_)
        | RunError::Runtime(_)
        | RunError::Failed(_) => FAILED,
    };
    ExitCode::from(code)
}
