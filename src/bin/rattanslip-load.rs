//! The program `rattanslip-load`.

fn main() -> std::process::ExitCode {
    rattanslip::load_main()
}
