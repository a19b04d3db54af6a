//! Discovery of the example documents.

use std::fs;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, ensure};

use crate::error::{IoSnafu, OptionsSnafu, Result};

/// Returns the INI files of a directory and its subdirectories, sorted by path.
///
/// # Errors
///
/// When a directory cannot be read or no INI file is found.
pub fn examples(dir: &Path) -> Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    collect(dir, &mut files)?;
    files.sort();
    ensure!(!files.is_empty(), OptionsSnafu { what: format!("no INI files in {}", dir.display()) });
    Ok(files)
}

fn collect(dir: &Path, files: &mut Vec<PathBuf>) -> Result<()> {
    let what = || format!("read {}", dir.display());
    for entry in fs::read_dir(dir).with_context(|_| IoSnafu { what: what() })? {
        let path = entry.with_context(|_| IoSnafu { what: what() })?.path();
        if path.is_dir() {
            collect(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "ini") {
            files.push(path);
        }
    }
    Ok(())
}
