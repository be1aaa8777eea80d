//! Temporary folders of sites under test.

use std::ops::Deref;
use std::path::Path;
use std::path::PathBuf;

/// A temporary folder that is removed on drop. If the test panics, it is kept for
/// the logs of the processes in it.
pub struct Folder(PathBuf);

impl Default for Folder {
    /// Chooses a random name. The folder is not created yet.
    fn default() -> Self {
        let name = format!(
            "limpetferry-{}-{:x}",
            std::process::id(),
            rand::random::<u64>()
        );
        Self(std::env::temp_dir().join(name))
    }
}

impl Deref for Folder {
    type Target = Path;

    fn deref(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::thread::panicking() && self.0.exists() {
            eprintln!("the site's settings and logs are in {}", self.0.display());
            return;
        }
        // It may not exist; a temporary folder that stays does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
