//! The program `rattanslip-agent`.

fn main() -> std::process::ExitCode {
    rattanslip::agent_main()
}
