//! The program `rattanslip-entry`.

fn main() -> std::process::ExitCode {
    rattanslip::entry_main()
}
