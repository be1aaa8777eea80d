//! The folder for a process's data: made at its first start if it is not there.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;

/// Returns whether a folder is at `folder`, or may be made there as far as can be told
/// without trying.
pub fn is_possible(folder: &Path) -> bool {
    if folder.as_os_str().is_empty() {
        return false;
    }
    let nearest = folder
        .ancestors()
        .find_map(|path| match fs::metadata(path) {
            Ok(found) => Some(found.is_dir()),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(_) => Some(false),
        });
    // The root of a relative path is the working directory.
    nearest.unwrap_or(true)
}

/// Makes a folder and its parents, unless they exist. Returns whether any was made; it
/// is there after a power loss.
///
/// # Errors
///
/// Returns the system's error if a folder cannot be made or synced.
pub fn create(folder: &Path) -> io::Result<bool> {
    if folder.is_dir() {
        return Ok(false);
    }
    let parent = folder
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    create(parent)?;
    match fs::create_dir(folder) {
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists && folder.is_dir() => {}
        made => made?,
    }
    // The name is on disk only once its parent is.
    File::open(parent)?.sync_all()?;
    Ok(true)
}
