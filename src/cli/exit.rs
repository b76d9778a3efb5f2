//! Exit codes.

use {super::RunError, std::process::ExitCode};

/// Failure at run time.
const FAILED: u8 = 1;
/// Invalid settings, document or arguments.
const INVALID_INPUT: u8 = 2;
/// The entry sent no response.
const UNREACHABLE: u8 = 3;
/// The entry refused the request.
const REFUSED: u8 = 4;

/// Prints an error to standard error and returns its exit code.
pub(crate) fn exit_code(result: Result<(), RunError>) -> ExitCode {
    log::logger().flush();
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
