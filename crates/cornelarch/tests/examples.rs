//! Checks the examples and the settings page against the code.

use std::path::{Path, PathBuf};

use cornelarch::operator;
use cornelarch_core::config::{Document, KeyDigest, SECTION_SCHEMAS, UpstreamKind};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn settings_files(name: &str) -> Vec<String> {
    let folder = root().join("examples").join(name).join("settings");
    let entries = std::fs::read_dir(folder).expect("folder exists");
    let paths = entries.map(|entry| entry.expect("entry is readable").path());
    paths.map(|path| path.display().to_string()).collect()
}

/// Guards against examples that do not pass `cornelarch check`, or that are smaller than a real
/// environment.
#[rstest::rstest]
#[case("quietud", 3, 3)]
#[case("regie", 4, 4)]
fn example_passes_check(#[case] name: &str, #[case] domains: usize, #[case] services: usize) {
    let file = root().join("examples").join(name).join("document.ini");
    let files = settings_files(name);
    assert_eq!(files.len(), 9);
    let mut args = vec!["check".to_owned(), file.display().to_string()];
    args.extend(
        files
            .iter()
            .flat_map(|file| ["--settings".to_owned(), file.clone()]),
    );
    let code = operator::run(&args);
    assert_eq!(
        format!("{code:?}"),
        format!("{:?}", std::process::ExitCode::SUCCESS)
    );

    let text = std::fs::read_to_string(file).expect("document is readable");
    let document = Document::parse(&text).expect("document is valid");
    let count = |kind| {
        document
            .upstreams
            .values()
            .filter(|upstream| upstream.kind == kind)
            .count()
    };
    assert_eq!(count(UpstreamKind::Engine), 9);
    assert_eq!(count(UpstreamKind::Service), services);
    assert_eq!(document.customers.len(), 10);
    let mut names: Vec<&str> = document
        .upstreams
        .values()
        .map(|upstream| &*upstream.domain)
        .collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), domains);
    for customer in document.customers.keys() {
        let key = format!("fake-key-{name}-{customer}");
        let owner = document
            .key_owner(&KeyDigest::of_key(&key))
            .expect("key is known");
        assert_eq!(owner.customer, *customer);
    }
}

/// Guards against `cornelarch check` accepting settings for another environment than the
/// document's.
#[test]
fn settings_of_another_environment_are_refused() {
    let file = root().join("examples/quietud/document.ini");
    let foreign = settings_files("regie").remove(0);
    let text = std::fs::read_to_string(&foreign).expect("settings are readable");
    let changed = std::env::temp_dir().join(format!("cornelarch-{}.ini", std::process::id()));
    std::fs::write(&changed, text.replace("= production", "= trial")).expect("file is writable");
    let args = [
        "check",
        &file.display().to_string(),
        "--settings",
        &changed.display().to_string(),
    ];
    let code = operator::run(&args.map(str::to_owned));
    std::fs::remove_file(changed).expect("file is removable");
    assert_eq!(
        format!("{code:?}"),
        format!("{:?}", std::process::ExitCode::from(3))
    );
}

/// Guards against document keys that the settings page does not describe.
#[test]
fn settings_page_describes_every_key() {
    let page = root().join("docs/settings.md");
    let page = std::fs::read_to_string(page).expect("page is readable");
    for schema in SECTION_SCHEMAS {
        let header = format!("### `[{}", schema.kind.as_str());
        let (_, section) = page.split_once(&header).expect("section is described");
        let section = section.split("\n### ").next().unwrap_or_default();
        for key in schema.keys {
            let row = format!("| `{key}` |");
            assert!(
                section.contains(&row),
                "{key} of [{}]",
                schema.kind.as_str()
            );
        }
    }
}
