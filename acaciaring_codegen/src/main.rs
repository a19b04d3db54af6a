//! Regenerates the files that derive from the schema, in place.
//!
//! Run `cargo run -p acaciaring_codegen` after each change of the schema.

use acaciaring_codegen::{GenerateError, generate, root};

fn main() -> Result<(), GenerateError> {
    generate(&root())
}
