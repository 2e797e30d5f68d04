//! Decoding of records that other programs write to the store: an invalid record is rejected, and
//! the valid ones beside it are still read.

use bytes::{BufMut, Bytes, BytesMut};
use proptest::prelude::*;
use serde_json::{Value, json};
use sprucerudder::cell::owner::cell_map::CellMap;
use sprucerudder::cell::owner::election::ElectionRecord;
use sprucerudder::cell::records::journal::{self, Snapshot};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::Incarnation;
use sprucerudder::platform::config::Policy;
use sprucerudder::platform::store::{decode_keyed, parse_page};
use sprucerudder::platform::submit;
use sprucerudder::platform::worker::parse_worker_entry;
use sprucerudder::workload::{JobDefinitionError, MAX_ESTIMATE};
use std::collections::BTreeMap;

fn worker_entry() -> Value {
    json!({
        "service": "desk", "address": "10.0.0.9:8080", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 4, "clock_ms": 482_113,
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}, "labels": ["a", "r1-3"]
    })
}

fn is_valid(entry: &Value) -> bool {
    parse_worker_entry("i-1".into(), entry.to_string().as_bytes()).is_ok()
}

#[test]
fn a_complete_entry_is_parsed() {
    assert!(is_valid(&worker_entry()));
    let mut draining = worker_entry();
    draining["state"] = json!("draining");
    draining["remaining_ms"] = json!(2_500.5);
    let draining_worker =
        parse_worker_entry("i-1".into(), draining.to_string().as_bytes()).unwrap();
    assert!(draining_worker.leaves_in.is_some());
}

#[test]
fn an_entry_with_a_missing_field_is_rejected() {
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_remaining_ms",
        "seq",
        "capacity",
        "labels",
    ];
    for field in fields {
        let mut invalid = worker_entry();
        invalid.as_object_mut().unwrap().remove(field);
        assert!(!is_valid(&invalid), "without {field}");
    }
    for field in ["cpu", "mem_mb", "gpu"] {
        let mut invalid = worker_entry();
        invalid["capacity"].as_object_mut().unwrap().remove(field);
        assert!(!is_valid(&invalid), "without {field}");
    }
}

#[test]
fn an_entry_with_a_field_of_the_wrong_type_is_rejected() {
    let other_values =
        [json!(null), json!(7), json!("x"), json!([1]), json!({"x": 1}), json!(true)];
    for (field, valid) in worker_entry().as_object().unwrap() {
        if field == "clock_ms" {
            continue;
        }
        let has_same_type =
            |other: &&Value| std::mem::discriminant(*other) == std::mem::discriminant(valid);
        for other in other_values.iter().filter(|other| !has_same_type(other)) {
            let mut invalid = worker_entry();
            invalid[field] = other.clone();
            assert!(!is_valid(&invalid), "{field} = {other}");
        }
    }
    let mut invalid = worker_entry();
    invalid["labels"] = json!(["a", 7]);
    assert!(!is_valid(&invalid));
    invalid = worker_entry();
    invalid["capacity"]["cpu"] = json!(-1);
    assert!(!is_valid(&invalid));
}

#[test]
fn an_entry_with_an_unknown_state_or_invalid_address_is_rejected() {
    for state in ["", "READY", "warming", "gone"] {
        let mut invalid = worker_entry();
        invalid["state"] = json!(state);
        assert!(!is_valid(&invalid), "{state:?}");
    }
    for addr in ["", "10.0.0.9", "10.0.0.9:", "nowhere:80", "10.0.0.9:99999", "http://10.0.0.9:80"]
    {
        let mut invalid = worker_entry();
        invalid["address"] = json!(addr);
        assert!(!is_valid(&invalid), "{addr:?}");
    }
}

/// An entry of another writer offered 2^64 - 1 thousandths of a core. The sum over a failure domain
/// overflowed: it was wrong, or ended the process in a build with overflow checks.
#[test]
fn an_entry_with_more_resources_than_any_worker_has_is_rejected() {
    for field in ["cpu", "mem_mb", "gpu"] {
        for amount in [u64::MAX, 1 << 63, (1 << 32) + 1] {
            let mut invalid = worker_entry();
            invalid["capacity"][field] = json!(amount);
            assert!(!is_valid(&invalid), "{field} {amount}");
        }
    }
    let mut large = worker_entry();
    large["capacity"]["cpu"] = json!(1_u64 << 32);
    assert!(is_valid(&large));
}

/// Numbers that do not fit, and nesting that would exhaust the stack of a recursive decoder.
#[test]
fn an_entry_with_odd_values_is_rejected_or_read_without_them() {
    let text = worker_entry().to_string();
    let numbers = ["1e400", "18446744073709551616", "-1", "1.5"];
    for number in numbers {
        let odd = text.replacen("\"slots\":", &format!("\"slots\":{number},\"other\":"), 1);
        assert!(parse_worker_entry("i-1".into(), odd.as_bytes()).is_err(), "{odd}");
    }
    let nested = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    for field in ["labels", "capacity", "zone", "born", "remaining_ms", "unknown"] {
        let odd = format!("{{\"{field}\":{nested},{}", &text[1..]);
        let parsed = parse_worker_entry("i-1".into(), odd.as_bytes());
        assert!(parsed.is_err() || field == "unknown", "{field}");
    }
}

/// A caller's numbers overflowed in sums and products of the owner.
#[test]
fn jobs_with_impossible_numbers_are_rejected_or_bounded() {
    let parse = |step: Value| submit::parse(json!({ "steps": [step] }).to_string().as_bytes());
    let job = parse(json!({ "count": 1, "cpu": 10, "estimate_ms": 1e300 })).expect("a job");
    assert_eq!(job.steps[0].estimate, MAX_ESTIMATE);
    assert_eq!(job.validate(), Ok(()));
    for field in ["cpu", "mem_mb", "gpu"] {
        let mut step = json!({ "count": 1, "cpu": 10 });
        step[field] = json!(u64::MAX);
        let job = parse(step).expect("a job");
        assert_eq!(job.validate(), Err(JobDefinitionError::TooLarge(0)), "{field}");
    }
}

#[test]
fn malformed_entry_bytes_are_rejected() {
    for bytes in [&b""[..], b"{", b"null", b"[]", b"7", b"\xff\xfe{}", b"{\"service\":\"\xff\"}"] {
        assert!(parse_worker_entry("i-1".into(), bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn an_invalid_item_of_a_page_does_not_hide_the_others() {
    let good = |key: &str| json!({"key": key, "value": "aGk=", "offset": 1});
    let invalid_items = [
        json!({"key": "b", "value": "%%%"}),
        json!({"key": "b", "value": 7}),
        json!({"key": 7, "value": "aGk="}),
        json!({"value": "aGk="}),
        json!("b"),
        json!(null),
    ];
    for invalid in invalid_items {
        let body = json!({"items": [good("a"), invalid, good("c")], "has_more": false, "end": 3});
        let page = parse_page(body.to_string().as_bytes()).unwrap();
        let keys: Vec<&str> = page.items.iter().map(|item| &*item.key).collect();
        assert_eq!(keys, ["a", "c"], "{invalid}");
        assert!(page.items.iter().all(|item| item.value == b"hi"));
    }
}

#[test]
fn a_record_without_a_valid_key_is_skipped() {
    let mut good = BytesMut::new();
    good.put_u8(1);
    good.put_slice(b"kv");
    assert!(decode_keyed(&good.freeze()).is_some());
    for bad in [&b""[..], b"\x05ab", b"\x01\xff"] {
        assert!(decode_keyed(&Bytes::copy_from_slice(bad)).is_none(), "{bad:?}");
    }
}

proptest! {
    /// No decoder panics, whatever bytes the store returns.
    #[test]
    fn decoders_do_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        text in "[\\[\\]{}\":,a-z0-9. ]{0,120}",
    ) {
        for input in [&bytes[..], text.as_bytes()] {
            let _ = parse_worker_entry("i-1".into(), input);
            let _ = parse_page(input);
            let _ = decode_keyed(&Bytes::copy_from_slice(input));
            let _ = Policy::parse(input);
            let _ = submit::parse(input);
            let _ = postcard::from_bytes::<ElectionRecord>(input);
            let _ = postcard::from_bytes::<CellMap>(input);
            let mut snapshot = Snapshot::default();
            for key in ["roster", "00000000000000aa", "00000000000000aa.p", &text] {
                let _ = snapshot.apply(key, input);
            }
        }
    }
}

#[test]
fn the_start_time_of_an_entry_is_optional() {
    let parse_with_born = |born: Value| {
        let mut entry = worker_entry();
        entry["born"] = born;
        parse_worker_entry("i-1".into(), entry.to_string().as_bytes())
    };
    let born = parse_with_born(json!(1_777_874_052_012_u64)).unwrap().started_at;
    assert_eq!(born, Some(Millis(1_777_874_052_012)));
    assert_eq!(
        parse_worker_entry("i-1".into(), worker_entry().to_string().as_bytes()).unwrap().started_at,
        None
    );
    for other in [json!("7"), json!(7.5), json!(-7), json!([7]), json!(true)] {
        assert!(parse_with_born(other.clone()).is_err(), "{other}");
    }
}

#[test]
fn a_worker_life_is_encoded_as_a_name_and_decoded_again() {
    let with_start = Incarnation { id: "i-1".into(), started_at: Some(Millis(1_777_874_052_012)) };
    let without_start = Incarnation { id: "i-1".into(), started_at: None };
    for life in [&with_start, &without_start] {
        let bytes = postcard::to_stdvec(life).unwrap();
        assert_eq!(postcard::from_bytes::<Incarnation>(&bytes).unwrap(), *life);
    }
    // Version 0.6.0 writes only the id. It reads an id written by this version as one that it does
    // not know.
    let name: Name = "i-1".into();
    let old = postcard::to_stdvec(&name).unwrap();
    assert_eq!(postcard::from_bytes::<Incarnation>(&old).unwrap(), without_start);
    assert!(!without_start.differs_from(&with_start) && !with_start.differs_from(&without_start));
    assert!(
        with_start
            .differs_from(&Incarnation { started_at: Some(Millis(7)), ..without_start.clone() })
    );
}

#[test]
fn worker_start_times_are_stored_apart_from_records_of_older_versions() {
    let start_times = BTreeMap::from([("i-1".into(), Millis(7))]);
    let (key, value) = journal::put_worker_starts(&start_times);
    let mut snapshot = Snapshot::default();
    snapshot.apply(&key, &value).unwrap();
    assert_eq!(snapshot.worker_starts, start_times);
    assert!(snapshot.workers.is_empty());
    snapshot.apply(&key, b"").unwrap();
    assert!(snapshot.worker_starts.is_empty());
}

#[test]
fn the_record_of_a_piece_with_an_unreadable_key_is_skipped() {
    let mut snapshot = Snapshot::default();
    let job = "00000000000000c1";
    for suffix in [".p.0.0", ".p.0.0.1.2", ".p.0.x.1", ".c.0.70000.1", ".r.-1.0.0", ".q.0.0.0"] {
        assert_eq!(snapshot.apply(&format!("{job}{suffix}"), b"\x01"), Ok(()), "{suffix}");
    }
    assert_eq!(snapshot, Snapshot::default());
}
