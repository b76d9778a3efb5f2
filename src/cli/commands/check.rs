//! `rattanslip check`.

use {
    crate::{
        cli::{RunError, args::CheckKind},
        conf::{
            AgentProgramSettings, ConfError, EntryProgramSettings, load_settings, read_document,
        },
    },
    serde_json::json,
    std::path::Path,
};

/// Checks a file and lists all its faults.
pub(crate) fn check(file: &Path, kind: CheckKind, as_json: bool) -> Result<(), RunError> {
    let result = match kind {
        CheckKind::Document => check_document(file),
        CheckKind::Entry => load_settings(file, EntryProgramSettings::read).map(|_| ()),
        CheckKind::Agent => load_settings(file, AgentProgramSettings::read).map(|_| ()),
    };
    if as_json {
        let faults = match &result {
            Err(ConfError::Faults(_, faults)) => faults.as_slice(),
            Ok(()) | Err(ConfError::Read(..)) => &[],
        };
        println!("{}", json!({ "ok": result.is_ok(), "faults": faults }));
    } else if result.is_ok() {
        println!("{}: no faults", file.display());
    }
    result.map_err(RunError::from)
}

fn check_document(file: &Path) -> Result<(), ConfError> {
    let name = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|error| ConfError::Read(name.clone(), error))?;
    read_document(&text)
        .map(|_| ())
        .map_err(|faults| ConfError::Faults(name, faults))
}
