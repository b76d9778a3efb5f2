//! Why a file was not taken.

use {super::Fault, quick_error::quick_error, std::io};

quick_error! {
    /// A settings file or document that can't be used.
    #[derive(Debug)]
    pub enum ConfError {
        /// The file can't be read.
        Read(path: String, error: io::Error) {
            display("{}: {}", path, error)
            source(error)
        }
        /// The file has faults; all of them are listed.
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
