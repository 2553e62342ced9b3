//! Creation of a data folder that a loss of power cannot undo.

use std::fs::DirBuilder;
use std::fs::File;
use std::io;
use std::os::unix::fs::DirBuilderExt as _;
use std::path::Path;

use rustix::fs::Access;

use crate::write_failure::WriteFailure;

/// File mode of a data folder that is created: access for the owner only.
const FOLDER_MODE: u32 = 0o700;

/// Creates a folder if only the last component of its path is missing, and makes its creation durable
/// by `sync` of its parent. Otherwise a loss of power could lose the whole folder after its replica has
/// voted.
///
/// A folder that exists may have been created by a process that was killed before it synced the parent.
/// Where the parent may not be written to, it was created by someone else.
///
/// # Errors
///
/// Returns a refusal if there is no room for the folder, otherwise a failure.
pub fn create_durably(
    folder: &Path,
    sync: impl FnOnce(&Path) -> io::Result<()>,
) -> Result<(), WriteFailure> {
    let created = DirBuilder::new().mode(FOLDER_MODE).create(folder);
    let is_new = match created {
        Ok(()) => true,
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists => false,
        Err(error) => return Err(WriteFailure::of_unsynced(error)),
    };
    let parent = folder.parent().filter(|p| !p.as_os_str().is_empty());
    let parent = parent.unwrap_or(Path::new("."));
    if !is_new && rustix::fs::access(parent, Access::WRITE_OK).is_err() {
        log::debug!(event = "parent_not_synced", parent:% = parent.display(); "the data folder was created by another user; its parent is left as it is");
        return Ok(());
    }
    sync(parent).map_err(WriteFailure::failed)
}

/// Makes the creation of a folder's items durable.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
