//! Tests of the creation of a data folder.

use std::cell::RefCell;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use heatherring_server::folder_creation::create_durably;
use heatherring_server::write_failure::WriteFailure;
use tempfile::TempDir;

#[test]
fn test_folder_creation_syncs_the_parent() {
    let parent = TempDir::new().unwrap();
    let folder = parent.path().join("data");
    let synced = RefCell::new(Vec::<PathBuf>::new());
    let note = |folder: &Path| {
        synced.borrow_mut().push(folder.to_path_buf());
        Ok(())
    };
    create_durably(&folder, note).unwrap();
    assert!(folder.is_dir());
    assert_eq!(synced.into_inner(), [parent.path()]);
}

/// Guards against a replica that votes in a folder whose creation a loss of power undoes: the process
/// that created it was killed, or failed, before the sync.
#[test]
fn test_folder_creation_syncs_the_parent_of_a_folder_that_was_created_before() {
    let parent = TempDir::new().unwrap();
    let folder = parent.path().join("data");
    let failed = create_durably(&folder, |_| Err(io::ErrorKind::Interrupted.into()));
    failed.unwrap_err();
    assert!(folder.is_dir());
    let mut synced = None;
    let note = |folder: &Path| {
        synced = Some(folder.to_path_buf());
        Ok(())
    };
    create_durably(&folder, note).unwrap();
    assert_eq!(synced.as_deref(), Some(parent.path()));
}

/// Guards against a failed sync that is taken for success, or for a want of room that passes.
#[test]
fn test_folder_creation_reports_a_failed_sync() {
    let parent = TempDir::new().unwrap();
    let folder = parent.path().join("data");
    std::fs::create_dir(&folder).unwrap();
    let failed = create_durably(&folder, |_| Err(io::ErrorKind::StorageFull.into()));
    let Err(WriteFailure::Failed { source }) = failed else {
        panic!("{failed:?}");
    };
    assert_eq!(source.kind(), io::ErrorKind::StorageFull);
}

/// Guards against a whole path that is created where a component of it is misspelt.
#[test]
fn test_folder_creation_creates_no_parent() {
    let parent = TempDir::new().unwrap();
    let folder = parent.path().join("missing").join("data");
    let failed = create_durably(&folder, |_| Ok(()));
    let Err(WriteFailure::Failed { source }) = failed else {
        panic!("{failed:?}");
    };
    assert_eq!(source.kind(), io::ErrorKind::NotFound);
}
