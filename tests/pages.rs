//! Checks that files, tests, settings, metrics, reasons and options named in the documentation
//! exist, and that links between its pages resolve.

#![allow(
    clippy::expect_used,
    reason = "a test that can't be set up must fail loudly"
)]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Folders that are searched for the names.
const CODE_FOLDERS: [&str; 5] = ["src", "tests", "scripts", "examples", ".ci"];
/// Single files that are searched for the names.
const CODE_FILES: [&str; 2] = ["Cargo.toml", "Cargo.lock"];

fn repository_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files in a folder and its subfolders.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for item in fs::read_dir(folder).expect("folder") {
        let path = item.expect("file").path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files
}

fn pages() -> Vec<PathBuf> {
    let mut pages = files_below(&repository_root().join("docs"));
    pages.extend(
        ["README.md", "CONTRIBUTING.md", "CHANGELOG.md"].map(|page| repository_root().join(page)),
    );
    pages.retain(|page| page.extension().is_some_and(|extension| extension == "md"));
    pages
}

fn code() -> String {
    let mut files: Vec<PathBuf> = CODE_FILES
        .iter()
        .map(|file| repository_root().join(file))
        .collect();
    for folder in CODE_FOLDERS {
        files.extend(files_below(&repository_root().join(folder)));
    }
    let texts = files
        .iter()
        .map(|file| fs::read_to_string(file).expect("text"));
    texts.collect::<Vec<_>>().join("\n")
}

/// All identifiers in a text.
fn identifiers(text: &str) -> BTreeSet<&str> {
    text.split(|c: char| !c.is_alphanumeric() && c != '_')
        .collect()
}

/// Inline code of a page. Fenced blocks are skipped; `scripts/run-page` runs them.
fn inline_code(page: &str) -> Vec<&str> {
    let mut spans = Vec::new();
    let mut fenced = false;
    for line in page.lines() {
        if line.starts_with("```") {
            fenced = !fenced;
        } else if !fenced {
            spans.extend(line.split('`').skip(1).step_by(2));
        }
    }
    spans
}

fn is_snake_case(name: &str) -> bool {
    name.contains('_')
        && name
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_')
}

fn is_path(name: &str) -> bool {
    let folders = [
        "core/",
        "ports/",
        "adapters/",
        "entry/",
        "agent/",
        "conf/",
        "cli/",
        "standin/",
    ];
    let has_prefix = |prefix: &str| name.starts_with(prefix);
    name.bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"/._-".contains(&byte))
        && (["src/", "tests/", "scripts/", "docs/", "examples/"]
            .into_iter()
            .any(has_prefix)
            || folders.into_iter().any(has_prefix))
}

fn exists(path: &str) -> bool {
    repository_root().join(path).exists() || repository_root().join("src").join(path).exists()
}

/// Whether the function of `module::function` exists; the module is not checked.
fn test_exists(name: &str, identifiers: &BTreeSet<&str>) -> bool {
    let function = name.rsplit("::").next().expect("function");
    identifiers.contains(function)
}

/// Returns what is wrong with a name on a page, if anything.
fn fault(name: &str, code: &str, identifiers: &BTreeSet<&str>) -> Option<&'static str> {
    if let Some(flag) = name
        .split(' ')
        .next()
        .and_then(|name| name.strip_prefix("--"))
    {
        let field = flag.replace('-', "_");
        let known = identifiers.contains(field.as_str()) || code.contains(&format!("--{flag}"));
        return (!known).then_some("no such flag");
    }
    if is_path(name) {
        return (!exists(name)).then_some("no such file");
    }
    if name.contains("::")
        && name.split("::").all(|part| {
            part.bytes()
                .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'_')
        })
    {
        return (!test_exists(name, identifiers)).then_some("no such test");
    }
    if let Some(metric) = name.strip_prefix("rattanslip_") {
        // The Prometheus exporter replaces dots by underscores and appends `_total` to counters.
        let plain = metric.strip_suffix("_total").unwrap_or(metric);
        let known = code.contains(&format!("rattanslip.{plain}"));
        return (!known).then_some("no such metric");
    }
    if is_snake_case(name) {
        return (!identifiers.contains(name)).then_some("no such name in the code");
    }
    if name.starts_with("rattanslip-") && !name.contains(' ') {
        let bare = name.split(':').next().unwrap_or(name);
        let known = code.contains(bare) || exists(&format!("src/bin/{bare}.rs"));
        return (!known).then_some("no such program or header");
    }
    None
}

#[test]
fn names_in_the_pages_exist() {
    let code = code();
    let identifiers = identifiers(&code);
    let mut faults = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("page");
        for name in inline_code(&text) {
            if let Some(fault) = fault(name, &code, &identifiers) {
                faults.push(format!("{}: `{name}`: {fault}", page.display()));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn links_between_pages_resolve() {
    let mut faults = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("page");
        let folder = page.parent().expect("folder");
        for link in text.split("](").skip(1) {
            let target = link.split([')', '#']).next().expect("target");
            if !target.is_empty() && !target.contains("://") && !folder.join(target).exists() {
                faults.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
