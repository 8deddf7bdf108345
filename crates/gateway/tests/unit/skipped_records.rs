use crate::skipped_records::SkippedRecords;

/// Guards against a log line for each read: with more foreign keys than were remembered, each read of
/// the whole topic logged all of them again.
#[test]
fn each_malformed_record_is_logged_once_however_many_there_are() {
    const RECORDS: usize = 2_000;
    const READS: usize = 3;
    let mut skipped = SkippedRecords::default();
    let mut lines = 0;
    for _ in 0..READS {
        for number in 0..RECORDS {
            let key = format!("x-{number}");
            lines += usize::from(skipped.is_new(&key, "missing field `version`"));
        }
    }
    assert_eq!(lines, RECORDS);
}

/// Guards against a fault of a record that hides a later one under the same key.
#[test]
fn another_reason_under_the_same_key_is_logged() {
    let mut skipped = SkippedRecords::default();
    assert!(skipped.is_new("x-1", "missing field `version`"));
    assert!(skipped.is_new("x-1", "missing field `seq`"));
    assert!(!skipped.is_new("x-1", "missing field `seq`"));
}

/// Guards against memory that grows with the number of keys that a foreign writer invents.
#[test]
fn the_oldest_key_is_forgotten_first() {
    let mut skipped = SkippedRecords::default();
    for number in 0..20_000 {
        skipped.is_new(&format!("x-{number}"), "missing field `version`");
    }
    assert!(!skipped.is_new("x-19999", "missing field `version`"));
    assert!(skipped.is_new("x-0", "missing field `version`"));
}
