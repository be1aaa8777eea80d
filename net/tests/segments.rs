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
use limpetferry_lib::text::Location;
use limpetferry_lib::text::TextError;
use limpetferry_lib::text::TextSource as _;
use limpetferry_net::frames;
use limpetferry_net::segments::Found;
use limpetferry_net::segments::SegmentError;
use limpetferry_net::segments::SegmentTexts;
use limpetferry_net::segments::Segments;
use limpetferry_testutils::folder::Folder;

const MOST: u64 = 1 << 20;

fn folder() -> Folder {
    let folder = Folder::default();
    fs::create_dir_all(&*folder).expect("the temporary folder can be written");
    folder
}

/// Opens the files, and returns what was found there too.
fn open(folder: &Folder, most: u64) -> (Segments, Vec<StoredRecord>, Found) {
    let (segments, located, found) = open_located(folder, most);
    let records: Vec<StoredRecord> = located.into_iter().map(|(record, _)| record).collect();
    assert_eq!(found.records, records.len() as u64);
    (segments, records, found)
}

fn open_located(folder: &Folder, most: u64) -> (Segments, Vec<(StoredRecord, Location)>, Found) {
    let mut records = Vec::new();
    let opened = Segments::open(folder, most, |record, location| {
        records.push((record, location));
    });
    let (segments, found) = opened.expect("it opens");
    (segments, records, found)
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
    let (mut segments, ..) = open(&folder, MOST);
    segments.append(&records(4)).expect("it is written");
    segments.sync().expect("it is synced");
    drop(segments);
    let file = files(&folder).remove(0);
    let bytes = fs::read(&file).expect("the file is there");

    for cut in 0..=bytes.len() {
        fs::write(&file, &bytes[..cut]).expect("it can be written");
        let (_, found, _) = open(&folder, MOST);

        let whole = found.len();
        assert_eq!(found, records(whole), "cut at {cut}");
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
    let (mut segments, ..) = open(&folder, MOST);
    segments.append(&records(2)).expect("it is written");
    drop(segments);
    let file = files(&folder).remove(0);
    let mut bytes = fs::read(&file).expect("the file is there");
    bytes.extend_from_slice(&[0, 0, 0, 99, 1, 2]);
    fs::write(&file, bytes).expect("it can be written");

    let (mut segments, _, torn) = open(&folder, MOST);
    segments.append(&[record(2)]).expect("it is written");
    segments.sync().expect("it is synced");
    drop(segments);
    let (_, found, _) = open(&folder, MOST);

    assert_eq!(torn.torn, 6);
    assert_eq!(found, records(3));
}

#[test]
fn a_removed_file_frees_its_bytes_and_leaves_the_others() {
    let folder = folder();
    let (mut segments, ..) = open(&folder, MOST);
    for _ in 0..50 {
        segments.append(&records(10)).expect("it is written");
    }
    let before = segments.bytes();
    let old = segments.current();
    segments.rotate().expect("a new file begins");
    segments.append(&[record(3)]).expect("it is written");

    segments.remove(old).expect("it is removed");
    let after = segments.bytes();
    drop(segments);
    let (_, found, _) = open(&folder, MOST);

    assert!(after * 100 < before, "{after} of {before}");
    assert_eq!(found, [record(3)]);
}

#[test]
fn texts_are_read_where_their_records_were_written_and_found() {
    let folder = folder();
    let (mut segments, ..) = open(&folder, MOST);
    let written = segments.append(&records(6)).expect("it is written");
    drop(segments);

    let (_, found, _) = open_located(&folder, MOST);
    let mut texts = SegmentTexts::new(&folder);
    let read: Vec<_> = written
        .iter()
        .map(|&location| texts.text(location))
        .collect();

    let places: Vec<Location> = found.iter().map(|(_, location)| *location).collect();
    assert_eq!(places, written);
    let expected = records(6).into_iter();
    let expected: Vec<_> = expected
        .map(|stored| Ok(stored.record.text().clone()))
        .collect();
    assert_eq!(read, expected);
}

// Guards against histories with bytes that no caller sent.
#[test]
fn a_damaged_record_is_an_error_and_no_text() {
    let folder = folder();
    let (mut segments, ..) = open(&folder, MOST);
    let written = segments.append(&records(2)).expect("it is written");
    drop(segments);
    let file = files(&folder).remove(0);
    let mut bytes = fs::read(&file).expect("the file is there");
    bytes[written[1].offset as usize + 20] ^= 1;
    fs::write(&file, bytes).expect("it can be written");

    let mut texts = SegmentTexts::new(&folder);
    let (sound, damaged) = (texts.text(written[0]), texts.text(written[1]));
    fs::remove_file(&file).expect("it goes");
    let moved = SegmentTexts::new(&folder).text(written[0]);

    assert!(sound.is_ok());
    assert_eq!(damaged, Err(TextError::Damaged(written[1])));
    assert_eq!(moved, Err(TextError::Moved(written[0])));
}

#[test]
fn a_full_disk_is_an_error_that_names_the_setting() {
    let folder = folder();
    let (mut segments, ..) = open(&folder, 500);

    let error = segments.append(&records(20)).expect_err("it does not fit");

    assert!(matches!(error, SegmentError::Full(..)));
    assert!(error.to_string().contains("data.max_mb"), "{error}");
}

#[test]
fn whole_is_remembered_and_an_empty_disk_is_not_whole() {
    let folder = folder();
    let (mut segments, _, first) = open(&folder, MOST);
    segments.set_whole().expect("it is written");
    drop(segments);

    let (_, _, second) = open(&folder, MOST);

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
    let (mut segments, ..) = open(&folder, MOST);
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
    let (_, records, found) = open(&folder, MOST);
    assert_eq!((records, found.torn), (stored.to_vec(), 0));
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

    let (_, read, found) = open(&folder, MOST);

    assert_eq!((read, found.torn), (records(2), 0));
}
