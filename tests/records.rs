//! Records of the store that come from other writers: one that cannot be read names nothing, and the
//! others hold.

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
use std::collections::BTreeMap;

fn entry() -> Value {
    json!({
        "service": "desk", "address": "10.0.0.9:8080", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 4, "clock_ms": 482_113,
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}, "labels": ["a", "r1-3"]
    })
}

fn reads(entry: &Value) -> bool {
    parse_worker_entry("i-1".into(), entry.to_string().as_bytes()).is_ok()
}

#[test]
fn a_whole_entry_names_its_worker() {
    assert!(reads(&entry()));
    let mut draining = entry();
    draining["state"] = json!("draining");
    draining["remaining_ms"] = json!(2_500.5);
    let listed = parse_worker_entry("i-1".into(), draining.to_string().as_bytes()).unwrap();
    assert!(listed.leaves_in.is_some());
}

#[test]
fn an_entry_without_one_of_its_fields_names_no_worker() {
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
        let mut broken = entry();
        broken.as_object_mut().unwrap().remove(field);
        assert!(!reads(&broken), "without {field}");
    }
    for field in ["cpu", "mem_mb", "gpu"] {
        let mut broken = entry();
        broken["capacity"].as_object_mut().unwrap().remove(field);
        assert!(!reads(&broken), "without {field}");
    }
}

#[test]
fn an_entry_with_a_field_of_another_type_names_no_worker() {
    let others = [json!(null), json!(7), json!("x"), json!([1]), json!({"x": 1}), json!(true)];
    for (field, usual) in entry().as_object().unwrap() {
        if field == "clock_ms" {
            continue;
        }
        let same = |other: &&Value| std::mem::discriminant(*other) == std::mem::discriminant(usual);
        for other in others.iter().filter(|other| !same(other)) {
            let mut broken = entry();
            broken[field] = other.clone();
            assert!(!reads(&broken), "{field} = {other}");
        }
    }
    let mut broken = entry();
    broken["labels"] = json!(["a", 7]);
    assert!(!reads(&broken));
    broken = entry();
    broken["capacity"]["cpu"] = json!(-1);
    assert!(!reads(&broken));
}

#[test]
fn an_entry_with_an_unknown_state_or_an_address_that_is_none_names_no_worker() {
    for state in ["", "READY", "warming", "gone"] {
        let mut broken = entry();
        broken["state"] = json!(state);
        assert!(!reads(&broken), "{state:?}");
    }
    for addr in ["", "10.0.0.9", "10.0.0.9:", "nowhere:80", "10.0.0.9:99999", "http://10.0.0.9:80"]
    {
        let mut broken = entry();
        broken["address"] = json!(addr);
        assert!(!reads(&broken), "{addr:?}");
    }
}

#[test]
fn bytes_that_are_no_text_name_no_worker() {
    for bytes in [&b""[..], b"{", b"null", b"[]", b"7", b"\xff\xfe{}", b"{\"service\":\"\xff\"}"] {
        assert!(parse_worker_entry("i-1".into(), bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn an_unreadable_item_of_a_page_does_not_hide_the_others() {
    let good = |key: &str| json!({"key": key, "value": "aGk=", "offset": 1});
    let odd = [
        json!({"key": "b", "value": "%%%"}),
        json!({"key": "b", "value": 7}),
        json!({"key": 7, "value": "aGk="}),
        json!({"value": "aGk="}),
        json!("b"),
        json!(null),
    ];
    for odd in odd {
        let body = json!({"items": [good("a"), odd, good("c")], "has_more": false, "end": 3});
        let page = parse_page(body.to_string().as_bytes()).unwrap();
        let keys: Vec<&str> = page.items.iter().map(|item| &*item.key).collect();
        assert_eq!(keys, ["a", "c"], "{odd}");
        assert!(page.items.iter().all(|item| item.value == b"hi"));
    }
}

#[test]
fn a_record_that_is_no_keyed_one_is_passed_over() {
    let mut good = BytesMut::new();
    good.put_u8(1);
    good.put_slice(b"kv");
    assert!(decode_keyed(&good.freeze()).is_some());
    for bad in [&b""[..], b"\x05ab", b"\x01\xff"] {
        assert!(decode_keyed(&Bytes::copy_from_slice(bad)).is_none(), "{bad:?}");
    }
}

proptest! {
    /// Whatever lies in the store: no decoder panics.
    #[test]
    fn no_bytes_end_a_process(
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
fn an_entry_tells_when_its_worker_started_or_nothing() {
    let listed = |born: Value| {
        let mut entry = entry();
        entry["born"] = born;
        parse_worker_entry("i-1".into(), entry.to_string().as_bytes())
    };
    let born = listed(json!(1_777_874_052_012_u64)).unwrap().started_at;
    assert_eq!(born, Some(Millis(1_777_874_052_012)));
    assert_eq!(
        parse_worker_entry("i-1".into(), entry().to_string().as_bytes()).unwrap().started_at,
        None
    );
    for other in [json!("7"), json!(7.5), json!(-7), json!([7]), json!(true)] {
        assert!(listed(other.clone()).is_err(), "{other}");
    }
}

#[test]
fn a_life_is_written_as_a_name_and_read_again() {
    let kept = Incarnation { id: "i-1".into(), started_at: Some(Millis(1_777_874_052_012)) };
    let bare = Incarnation { id: "i-1".into(), started_at: None };
    for life in [&kept, &bare] {
        let bytes = postcard::to_stdvec(life).unwrap();
        assert_eq!(postcard::from_bytes::<Incarnation>(&bytes).unwrap(), *life);
    }
    // 0.6.0 wrote the id alone, and reads what is written now as an id that it does not know.
    let name: Name = "i-1".into();
    let old = postcard::to_stdvec(&name).unwrap();
    assert_eq!(postcard::from_bytes::<Incarnation>(&old).unwrap(), bare);
    assert!(!bare.differs_from(&kept) && !kept.differs_from(&bare));
    assert!(kept.differs_from(&Incarnation { started_at: Some(Millis(7)), ..bare.clone() }));
}

#[test]
fn records_of_lives_stand_apart_from_those_that_older_versions_read() {
    let births = BTreeMap::from([("i-1".into(), Millis(7))]);
    let (key, value) = journal::put_worker_starts(&births);
    let mut snapshot = Snapshot::default();
    snapshot.apply(&key, &value).unwrap();
    assert_eq!(snapshot.worker_starts, births);
    assert!(snapshot.workers.is_empty());
    snapshot.apply(&key, b"").unwrap();
    assert!(snapshot.worker_starts.is_empty());
}
