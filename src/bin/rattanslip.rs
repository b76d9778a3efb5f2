//! The program `rattanslip`.

fn main() -> std::process::ExitCode {
    rattanslip::operator_main()
}
