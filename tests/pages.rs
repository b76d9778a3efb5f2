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

/// A file that is searched for the names.
struct CodeFile {
    /// Path below the root of the repository.
    path: PathBuf,
    text: String,
}

impl CodeFile {
    fn read(file: &Path) -> Self {
        let path = file.strip_prefix(repository_root()).expect("file of code");
        Self {
            path: path.to_path_buf(),
            text: fs::read_to_string(file).expect("text"),
        }
    }

    /// Whether the file belongs to a module of this name or declares one.
    fn has_module(&self, module: &str) -> bool {
        self.path
            .with_extension("")
            .iter()
            .any(|part| part == module)
            || self.contains(&format!("mod {module}"))
    }

    /// Whether the file defines the function, also as a row `NAME: ...` of a macro's table.
    fn has_function(&self, function: &str) -> bool {
        let is_row = |line: &str| {
            line.trim_start()
                .strip_prefix(function)
                .is_some_and(|rest| rest.starts_with(':') && !rest.starts_with("::"))
        };
        self.contains(&format!("fn {function}")) || self.text.lines().any(is_row)
    }

    /// Whether the text contains the words, not as a part of longer ones.
    fn contains(&self, words: &str) -> bool {
        self.text.match_indices(words).any(|(start, matched)| {
            let (before, after) = (&self.text[..start], &self.text[start + matched.len()..]);
            !before.ends_with(is_identifier_part) && !after.starts_with(is_identifier_part)
        })
    }
}

fn code_files() -> Vec<CodeFile> {
    let mut files: Vec<PathBuf> = CODE_FILES
        .iter()
        .map(|file| repository_root().join(file))
        .collect();
    for folder in CODE_FOLDERS {
        files.extend(files_below(&repository_root().join(folder)));
    }
    files.iter().map(|file| CodeFile::read(file)).collect()
}

fn is_identifier_part(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// All identifiers in a text.
fn identifiers(text: &str) -> BTreeSet<&str> {
    text.split(|c: char| !is_identifier_part(c)).collect()
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

/// Whether a name such as `WorkerId` has several parts that start with a capital.
fn is_camel_case(name: &str) -> bool {
    name.starts_with(|c: char| c.is_ascii_uppercase())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric())
        && name.bytes().any(|byte| byte.is_ascii_lowercase())
        && name.bytes().filter(u8::is_ascii_uppercase).count() > 1
}

fn is_bare_source_file(name: &str) -> bool {
    name.ends_with(".rs") && !name.contains(['/', ' '])
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

/// Whether one file defines the last part of `module::name`, a function or a module, and has each
/// module before it.
fn test_exists(name: &str, files: &[CodeFile], identifiers: &BTreeSet<&str>) -> bool {
    let (modules, last) = name.rsplit_once("::").expect("module");
    identifiers.contains(last)
        && files.iter().any(|file| {
            (file.has_function(last) || file.has_module(last))
                && modules.split("::").all(|module| file.has_module(module))
        })
}

/// Returns what is wrong with a name on a page, if anything.
fn fault(
    name: &str,
    files: &[CodeFile],
    code: &str,
    identifiers: &BTreeSet<&str>,
) -> Option<&'static str> {
    if name
        .split(|c: char| !is_identifier_part(c))
        .any(|word| is_camel_case(word) && !identifiers.contains(word))
    {
        return Some("no such type");
    }
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
    if is_bare_source_file(name) {
        let known = files.iter().any(|file| file.path.ends_with(name));
        return (!known).then_some("no such file");
    }
    if name.contains("::")
        && name.split("::").all(|part| {
            part.bytes()
                .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'_')
        })
    {
        return (!test_exists(name, files, identifiers)).then_some("no such test");
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
    let files = code_files();
    let texts: Vec<&str> = files.iter().map(|file| file.text.as_str()).collect();
    let code = texts.join("\n");
    let identifiers = identifiers(&code);
    let mut faults = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("page");
        for name in inline_code(&text) {
            if let Some(fault) = fault(name, &files, &code, &identifiers) {
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
