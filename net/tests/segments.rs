//! A keeper's disk: what was synced is found again, wherever the rest is torn.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use limpetferry_lib::ledger::Begin;
use limpetferry_lib::ledger::Finish;
use limpetferry_lib::ledger::Record;
use limpetferry_lib::ledger::StoredRecord;
use limpetferry_lib::server_version::ServerVersion;
use limpetferry_lib::stream_origin::RecordedOrigin;
use limpetferry_lib::stream_origin::StreamOrigin;
use limpetferry_net::frames;
use limpetferry_net::segments::SegmentError;
use limpetferry_net::segments::Segments;
use limpetferry_testutils::folder::Folder;

const MOST: u64 = 1 << 20;

fn folder() -> Folder {
    let folder = Folder::default();
    fs::create_dir_all(&*folder).expect("the temporary folder can be written");
    folder
}

fn record(number: usize) -> StoredRecord {
    let turn: Arc<str> = format!("turn-{number}").into();
    let record = if number.is_multiple_of(2) {
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
    };
    record.into()
}

fn records(count: usize) -> Vec<StoredRecord> {
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

fn with_origin(number: usize) -> StoredRecord {
    StoredRecord {
        origin: Some(RecordedOrigin {
            origin: StreamOrigin {
                service: "engine".into(),
                version: ServerVersion::new("v1"),
            },
            serial: 3,
        }),
        ..record(number)
    }
}

/// Returns the bodies of a file's records.
fn bodies(mut bytes: &[u8]) -> Vec<&[u8]> {
    let mut bodies = Vec::new();
    while let Some((head, rest)) = bytes.split_first_chunk::<8>() {
        let [a, b, c, d, ..] = *head;
        let (body, rest) = rest.split_at(u32::from_be_bytes([a, b, c, d]) as usize);
        bodies.push(body);
        bytes = rest;
    }
    bodies
}

// Guards against turns that are lost when a keeper goes back to a build that knows
// no origins.
#[test]
fn a_build_without_origins_reads_records_that_have_one() {
    let folder = folder();
    let (mut segments, _) = Segments::open(&folder, MOST).expect("it opens");
    let stored = [with_origin(0), record(1), with_origin(2)];
    segments.append(&stored).expect("it is written");
    segments.sync().expect("it is synced");

    let bytes = fs::read(&files(&folder)[0]).expect("the file is there");
    let config = bincode::config::standard();
    let read = bodies(&bytes).into_iter().map(|body| {
        let decoded = bincode::serde::decode_from_slice::<Record, _>(body, config);
        decoded.expect("a record").0
    });

    let records: Vec<Record> = stored.iter().map(|stored| stored.record.clone()).collect();
    assert_eq!(read.collect::<Vec<Record>>(), records);
    drop(segments);
    let (_, found) = Segments::open(&folder, MOST).expect("it opens");
    assert_eq!((found.records, found.torn), (stored.to_vec(), 0));
}

// Guards against turns that are lost when a keeper comes to a build that knows
// origins.
#[test]
fn records_of_a_build_without_origins_are_read() {
    let folder = folder();
    let mut bytes = Vec::new();
    for stored in records(2) {
        frames::append(&stored.record, &mut bytes).expect("it is encoded");
    }
    fs::write(folder.join("000000000001.turns"), &bytes).expect("it is written");

    let (_, found) = Segments::open(&folder, MOST).expect("it opens");

    assert_eq!((found.records, found.torn), (records(2), 0));
}
