//! The program `rattanslip-standin`.

fn main() -> std::process::ExitCode {
    rattanslip::standin_main()
}
