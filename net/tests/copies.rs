//! The file of copies when a process ends at any byte, when it does not fit,
//! and when it is another's.

use std::path::Path;
use std::path::PathBuf;

use assert_matches::assert_matches;
use limpetferry_lib::id::Epoch;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::ShardId;
use limpetferry_lib::message::Change;
use limpetferry_lib::shard_copies::CopyRecord;
use limpetferry_lib::shard_copies::ShardCopies;
use limpetferry_net::copies::CopyError;
use limpetferry_net::copies::CopyStore as _;
use limpetferry_net::copies::FileCopies;
use limpetferry_net::copies::Found;
use limpetferry_net::settings::DataSettings;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("copies-{:x}", rand::random::<u64>()));
        std::fs::create_dir_all(&path).expect("the temporary folder can be written");
        Self(path)
    }

    fn settings(&self) -> DataSettings {
        DataSettings {
            folder: self.0.clone(),
            most: 1,
        }
    }

    fn file(&self) -> PathBuf {
        self.0.join("tool-1.copies")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(folder: &Folder, run: &str) -> Result<(FileCopies, Found), CopyError> {
    FileCopies::open(&folder.settings(), &NodeId::new("tool-1"), run)
}

/// Returns a run of changes with all kinds of records.
fn records() -> Vec<CopyRecord> {
    let keep = |seq, change| CopyRecord::Keep {
        shard: ShardId(3),
        epoch: Epoch(1),
        seq,
        change,
    };
    vec![
        keep(1, Change::Begin),
        keep(2, Change::Complete),
        CopyRecord::Adopt {
            shard: ShardId(3),
            epoch: Epoch(2),
            chosen: Epoch(1),
        },
        CopyRecord::Drop { shard: ShardId(7) },
    ]
}

fn write(folder: &Folder, run: &str, records: &[CopyRecord]) {
    let (mut copies, _) = open(folder, run).expect("the folder can be used");
    for record in records {
        copies.append(record).expect("there is room");
    }
}

fn keeper(records: impl IntoIterator<Item = CopyRecord>) -> ShardCopies {
    let mut keeper = ShardCopies::default();
    for record in records {
        keeper.replay(record);
    }
    keeper
}

fn cut(file: &Path, bytes: &[u8], size: usize) {
    std::fs::write(file, &bytes[..size]).expect("the file can be written");
}

#[test]
fn what_was_stored_is_found_and_goes_on() {
    let folder = Folder::new();
    write(&folder, "run-1", &records()[..2]);
    write(&folder, "run-1", &records()[2..]);

    let (_, found) = open(&folder, "run-1").expect("the folder can be used");

    assert_eq!(found.records, records());
    assert_eq!((found.torn, found.stale), (0, false));
}

#[test]
fn a_file_cut_at_any_byte_gives_its_whole_records_and_takes_more() {
    let folder = Folder::new();
    write(&folder, "run-1", &records());
    let bytes = std::fs::read(folder.file()).expect("the file is there");
    let head = "limpetferry-copies 1\nrun-1\n".len();
    for size in head..=bytes.len() {
        cut(&folder.file(), &bytes, size);

        let (mut copies, found) = open(&folder, "run-1").expect("the folder can be used");
        let extra = CopyRecord::Drop { shard: ShardId(9) };
        copies.append(&extra).expect("there is room");
        drop(copies);
        let (_, again) = open(&folder, "run-1").expect("the folder can be used");

        assert_eq!(found.records, records()[..found.records.len()]);
        assert_eq!(again.torn, 0);
        assert_eq!(again.records.last(), Some(&extra));
        assert_eq!(again.records.len(), found.records.len() + 1);
    }
}

#[test]
fn a_changed_byte_ends_what_is_believed() {
    let folder = Folder::new();
    write(&folder, "run-1", &records());
    let bytes = std::fs::read(folder.file()).expect("the file is there");
    let head = "limpetferry-copies 1\nrun-1\n".len();
    for at in head..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x40;
        std::fs::write(folder.file(), &changed).expect("the file can be written");

        let (_, found) = open(&folder, "run-1").expect("the folder can be used");

        assert!(found.records.len() < records().len(), "byte {at}");
        assert_eq!(found.records, records()[..found.records.len()]);
        assert!(found.torn > 0);
    }
}

#[test]
fn copies_of_another_run_of_the_machine_are_given_up() {
    let folder = Folder::new();
    write(&folder, "run-1", &records());

    let (copies, found) = open(&folder, "run-2").expect("the folder can be used");
    drop(copies);
    let (_, back) = open(&folder, "run-1").expect("the folder can be used");

    assert!(found.stale);
    assert!(found.records.is_empty());
    assert!(back.records.is_empty());
}

#[test]
fn one_process_at_a_time_uses_the_file() {
    let folder = Folder::new();
    let (_first, _) = open(&folder, "run-1").expect("the folder can be used");

    let second = open(&folder, "run-1");

    assert_matches!(second, Err(CopyError::Taken(_)));
}

#[test]
fn a_full_file_is_written_anew_and_says_when_it_cannot_be() {
    let folder = Folder::new();
    let (mut copies, _) = open(&folder, "run-1").expect("the folder can be used");
    let record = &records()[0];
    let full = loop {
        if let Err(error) = copies.append(record) {
            break error;
        }
    };
    let kept = keeper(records());

    copies.rewrite(&mut kept.records()).expect("it is small");
    copies.append(&records()[3]).expect("there is room again");
    drop(copies);
    let (_, found) = open(&folder, "run-1").expect("the folder can be used");

    assert_matches!(full, CopyError::Full(..));
    assert_eq!(found.records.len(), 2);
    let (before, after) = (kept.records(), keeper(found.records));
    assert!(before.eq(after.records()));
}

#[test]
fn a_cleared_file_is_never_found_again() {
    let folder = Folder::new();
    let (mut copies, _) = open(&folder, "run-1").expect("the folder can be used");
    copies.append(&records()[0]).expect("there is room");

    copies.clear().expect("the file is ours");
    drop(copies);
    let (_, found) = open(&folder, "run-1").expect("the folder can be used");

    assert_eq!(found, Found::default());
}
