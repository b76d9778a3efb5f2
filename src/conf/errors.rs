//! Errors of settings files and configuration documents.

use {super::Fault, quick_error::quick_error, std::io};

quick_error! {
    /// A settings file or configuration document can't be used.
    #[derive(Debug)]
    pub enum ConfError {
        /// The file can't be read.
        Read(path: String, error: io::Error) {
            display("{}: {}", path, error)
            source(error)
        }
        /// The file has invalid content; all faults are listed.
        Faults(path: String, faults: Vec<Fault>) {
            display("{}", list(path, faults))
        }
    }
}

fn list(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{path}: {fault}"))
        .collect();
    lines.join("\n")
}
