//! Checks that the committed generated files are up to date.

use std::fs;
use std::path::Path;

use acaciaring_codegen::{FILES, generate, root};

#[test]
fn committed_files_follow_from_the_schema() {
    let target = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    generate(&target).expect("the schema is valid");
    for file in FILES {
        let read = |base: &Path| fs::read_to_string(base.join(file)).expect("the file is there");
        let same = read(&target) == read(&root());
        assert!(same, "{file} is out of date: run cargo run -p acaciaring_codegen");
    }
}
