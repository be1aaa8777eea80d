//! A keeper's disk: what was synced is found again, wherever the rest is torn.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::ledger::Record;
use limpetferry_net::segments::SegmentError;
use limpetferry_net::segments::Segments;
use limpetferry_testutils::folder::Folder;

const MOST: u64 = 1 << 20;

fn folder() -> Folder {
    let folder = Folder::default();
    fs::create_dir_all(&*folder).expect("the temporary folder can be written");
    folder
}

fn record(number: usize) -> Record {
    let turn: Arc<str> = format!("turn-{number}").into();
    if number.is_multiple_of(2) {
        Record::Begin(Begin {
            turn,
            program: "program".into(),
            previous: None,
            input: vec![7; 40].into(),
            most: 50,
        })
    } else {
        Record::Finish(Finish {
            turn,
            program: "program".into(),
            output: vec![9; 30].into(),
            used: 50,
            whole: true,
        })
    }
}

fn records(count: usize) -> Vec<Record> {
    (0..count).map(record).collect()
}

fn files(folder: &Folder) -> Vec<PathBuf> {
    let entries = fs::read_dir(&**folder).expect("the folder is there");
    let mut files: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .collect();
    files.retain(|path| path.extension().is_some_and(|end| end == "turns"));
    files.sort();
    files
}

#[test]
fn a_file_cut_at_any_byte_gives_the_whole_records_before() {
    let folder = folder();
    let (mut segments, _) = Segments::open(&folder, MOST).expect("it opens");
    segments.append(&records(4)).expect("it is written");
    segments.sync().expect("it is synced");
    drop(segments);
    let file = files(&folder).remove(0);
    let bytes = fs::read(&file).expect("the file is there");

    for cut in 0..=bytes.len() {
        fs::write(&file, &bytes[..cut]).expect("it can be written");
        let (_, found) = Segments::open(&folder, MOST).expect("it opens");

        let whole = found.records.len();
        assert_eq!(found.records, records(whole), "cut at {cut}");
        assert_eq!(whole == 4, cut == bytes.len(), "cut at {cut}");
        files(&folder)
            .iter()
            .skip(1)
            .for_each(|file| fs::remove_file(file).expect("it goes"));
    }
}

#[test]
fn what_is_appended_after_a_restart_is_found_behind_a_torn_end() {
    let folder = folder();
    let (mut segments, _) = Segments::open(&folder, MOST).expect("it opens");
    segments.append(&records(2)).expect("it is written");
    drop(segments);
    let file = files(&folder).remove(0);
    let mut bytes = fs::read(&file).expect("the file is there");
    bytes.extend_from_slice(&[0, 0, 0, 99, 1, 2]);
    fs::write(&file, bytes).expect("it can be written");

    let (mut segments, torn) = Segments::open(&folder, MOST).expect("it opens");
    segments.append(&[record(2)]).expect("it is written");
    segments.sync().expect("it is synced");
    drop(segments);
    let (_, found) = Segments::open(&folder, MOST).expect("it opens");

    assert_eq!(torn.torn, 6);
    assert_eq!(found.records, records(3));
}

#[test]
fn rewriting_leaves_what_lives_and_frees_the_rest() {
    let folder = folder();
    let (mut segments, _) = Segments::open(&folder, MOST).expect("it opens");
    for _ in 0..50 {
        segments.append(&records(10)).expect("it is written");
    }
    let before = segments.bytes();

    segments.rewrite(&[record(3)]).expect("it is rewritten");
    let after = segments.bytes();
    drop(segments);
    let (_, found) = Segments::open(&folder, MOST).expect("it opens");

    assert!(after * 100 < before, "{after} of {before}");
    assert_eq!(found.records, [record(3)]);
}

#[test]
fn a_full_disk_is_an_error_that_names_the_setting() {
    let folder = folder();
    let (mut segments, _) = Segments::open(&folder, 500).expect("it opens");

    let error = segments.append(&records(20)).expect_err("it does not fit");

    assert!(matches!(error, SegmentError::Full(..)));
    assert!(error.to_string().contains("data.max_mb"), "{error}");
}

#[test]
fn whole_is_remembered_and_an_empty_disk_is_not_whole() {
    let folder = folder();
    let (mut segments, first) = Segments::open(&folder, MOST).expect("it opens");
    segments.set_whole().expect("it is written");
    drop(segments);

    let (_, second) = Segments::open(&folder, MOST).expect("it opens");

    assert!(!first.whole);
    assert!(second.whole);
}
