//! Bad input: tables, settings, ids, messages. Each fault is named; nothing panics.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucerudder::clock::Millis;
use sprucerudder::controller::shard_ranking::ShardCapacity;
use sprucerudder::controller::slots::SlotUsage;
use sprucerudder::id::{EntryId, JobId};
use sprucerudder::settings::Settings;
use sprucerudder::table::Table;
use sprucerudder::trace::{Event, EventKind, Stamp};
use sprucerudder::wire::msg::{
    CodecError, Envelope, Heartbeat, NEWEST_VERSION, OLDEST_VERSION, PeerRequest, PeerResponse,
    ShardHeartbeat, decode, encode,
};

const HEAD: &str =
    "kind,team,class,weight,limit,queue,deadline,repeat,retries,pack,spread,quota,site:d";
const ROW: [&str; 13] =
    ["build", "t", "batch", "5", "10", "10", "60000", "yes", "2", "1", "1", "0", "9"];

fn with(column: usize, value: &str) -> String {
    let mut cells = ROW.map(str::to_string);
    cells[column] = value.to_string();
    format!("{HEAD}\n{}\n", cells.join(","))
}

#[test]
fn every_column_refuses_bad_values_by_name() {
    let bad: [(usize, &[&str]); 13] = [
        (0, &["", "a b", "x.y"]),
        (1, &["", "a b"]),
        (2, &["", "job"]),
        (3, &["", "-1", "1001", "x"]),
        (4, &["0", "x", "1.5"]),
        (5, &["-1", "1000001"]),
        (6, &["0", "86400001", "1s"]),
        (7, &["", "maybe", "Yes"]),
        (8, &["11", "-1"]),
        (9, &["1001", ""]),
        (10, &["x", ""]),
        (11, &["-5", "4000000001"]),
        (12, &["x", "1001"]),
    ];
    let heads: Vec<&str> = HEAD.split(',').collect();
    for (column, values) in bad {
        for value in values {
            let faults = Table::parse(&with(column, value)).expect_err(value);
            let named = faults.iter().any(|fault| {
                fault.column == heads[column] && fault.value == *value && fault.line == 2
            });
            assert!(named && faults.iter().all(|fault| !fault.expected.is_empty()), "{faults:?}");
        }
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = format!("{HEAD}\nbuild,t,job,x,10,10,60000,no,2,1,1,0,9\nbuild,,batch,5,0\n");
    let faults = Table::parse(&text).expect_err("faults");
    let seen: Vec<(u64, &str)> = faults.iter().map(|f| (f.line, f.column.as_str())).collect();
    for fault in [(2, "class"), (2, "weight"), (2, "retries"), (3, "team"), (3, "limit")] {
        assert!(seen.contains(&fault), "{fault:?} in {seen:?}");
    }
}

#[test]
fn headings_rows_and_marks_of_vms_are_checked() {
    let row = ROW.join(",");
    let twice = Table::parse(&format!("{HEAD}\n{row}\n{row}\n")).expect_err("twice");
    assert_eq!((twice[0].line, twice[0].column.as_str()), (3, "kind"));
    let missing = Table::parse(&HEAD.replace("weight", "wait")).expect_err("heading");
    assert_eq!(missing.len(), 2, "{missing:?}");
    let vm = format!("{HEAD}\n{row}\nvm:w1,,,0\n");
    assert!(Table::parse(&vm).expect("table").excluded_vms.contains("w1"));
    let vm = format!("{HEAD}\n{row}\nvm:w1,,,7\n");
    assert_eq!(Table::parse(&vm).expect_err("vm")[0].column, "weight");
    let extra = Table::parse(&format!("{HEAD}\n{row},more\n")).expect_err("cells");
    assert_eq!(extra[0].value, "more");
    assert!(Table::parse(HEAD).is_err(), "a table without rows");
}

fn settings(change: impl Fn(&mut serde_json::Value)) -> String {
    let pem = "-----BEGIN X-----";
    let mut value = serde_json::json!({
        "name": "e1", "domain": "d", "http": "127.0.0.1:1", "peer": "127.0.0.1:2",
        "platform": {"log": "127.0.0.1:3", "list": "127.0.0.1:3"},
        "keys": {"authority": pem, "certificate": pem, "secret": pem},
        "peers": [{"name": "e2", "domain": "d", "addr": "127.0.0.1:4"}],
        "tokens": [{"name": "op", "token": "0123456789abcdef", "right": "operator"}],
    });
    change(&mut value);
    serde_json::to_string_pretty(&value).expect("json")
}

#[test]
fn every_setting_refuses_bad_values_by_path_and_line() {
    let bad = [
        ("/name", serde_json::json!("a b")),
        ("/domain", serde_json::json!(5)),
        ("/http", serde_json::json!("localhost:1")),
        ("/peer", serde_json::json!("127.0.0.1")),
        ("/platform/log", serde_json::json!("x")),
        ("/platform/list", serde_json::json!(null)),
        ("/keys/authority", serde_json::json!("text")),
        ("/keys/certificate", serde_json::json!(1)),
        ("/keys/secret", serde_json::json!("")),
        ("/peers/0/addr", serde_json::json!("x:1")),
        ("/peers/0/name", serde_json::json!("")),
        ("/peers/0/domain", serde_json::json!("")),
        ("/tokens/0/token", serde_json::json!("short")),
        ("/tokens/0/right", serde_json::json!("root")),
        ("/tokens/0/name", serde_json::json!([])),
    ];
    for (path, value) in bad {
        let text = settings(|all| *all.pointer_mut(path).expect("path") = value.clone());
        let faults = Settings::parse(&text).expect_err(path);
        let last = path.rsplit('/').next().expect("name");
        assert!(faults[0].path.ends_with(last) && faults[0].line > 1, "{path}: {faults:?}");
    }
    for (name, value) in [
        ("log_level", serde_json::json!("loud")),
        ("body_max", serde_json::json!(0)),
        ("beat_every", serde_json::json!("500ms")),
        ("list_every", serde_json::json!(1.5)),
        ("sync_every", serde_json::json!(99)),
        ("log_refresh", serde_json::json!(-1)),
        ("stop_grace", serde_json::json!(3_600_001)),
        ("beat_evry", serde_json::json!(500)),
    ] {
        let text = settings(|all| all[name] = value.clone());
        let faults = Settings::parse(&text).expect_err(name);
        assert_eq!(faults[0].path, name);
    }
}

#[test]
fn settings_report_all_faults_and_impossible_combinations() {
    let text = settings(|all| {
        all["name"] = "a b".into();
        all["http"] = "x".into();
        all["extra"] = 1.into();
    });
    assert_eq!(Settings::parse(&text).expect_err("three").len(), 3);
    let same = settings(|all| all["peers"][0]["name"] = "e1".into());
    assert_eq!(Settings::parse(&same).expect_err("own name")[0].path, "peers");
    let missing = settings(|all| drop(all.as_object_mut().expect("map").remove("peer")));
    assert_eq!(Settings::parse(&missing).expect_err("missing")[0].path, "peer");
    let good = Settings::parse(&settings(|_| {})).expect("good");
    assert_eq!((good.heartbeat_interval, good.stop_grace), (Millis(500), Millis(3_000)));
}

#[test]
fn the_explained_settings_file_is_what_the_code_has() {
    let file = include_str!("../docs/example/settings.jsonc");
    assert_eq!(file, Settings::template());
}

#[test]
fn messages_of_another_version_are_refused_by_name() {
    let envelope = Envelope { stamp: Stamp(1), body: PeerRequest::Table };
    let bytes = encode(NEWEST_VERSION, &envelope).expect("bytes");
    assert_eq!(decode::<PeerRequest>(NEWEST_VERSION, &bytes).expect("message"), envelope);
    let older = decode::<PeerRequest>(OLDEST_VERSION, &bytes);
    assert!(matches!(older, Err(CodecError::Version(NEWEST_VERSION, OLDEST_VERSION))), "{older:?}");
    assert!(matches!(decode::<PeerRequest>(NEWEST_VERSION, &[]), Err(CodecError::Empty)));
}

/// The bytes of version 1 as entries of that version write them: they must never change.
#[test]
fn version_1_keeps_its_bytes() {
    let from = EntryId { name: "e1".into(), incarnation: 300 };
    let room = ShardCapacity { max_weight: 9, backlog: 5, ..ShardCapacity::default() };
    let shard = ShardHeartbeat {
        shard: "r".into(),
        epoch: 2,
        is_owner: true,
        start_pending: false,
        room: Some(room),
    };
    let beat = Heartbeat {
        from,
        domain: "d".into(),
        addr: "10.0.0.1:80".parse().expect("addr"),
        is_stopping: false,
        table_rev: 7,
        list_rev: 1,
        shards: vec![shard],
    };
    let uses = vec![SlotUsage { runner: "x".into(), held: 2, used: 1 }];
    let asks = [
        (
            PeerRequest::Heartbeat(beat),
            "010500026531ac020164000a0000015000070101017202010001000000000000000000\
             0509",
        ),
        (PeerRequest::Seal { shard: "r".into(), epoch: 3 }, "010502017203"),
        (
            PeerRequest::LendSlots { shard: "r".into(), entry: "e".into(), uses, waiting: 4 },
            "01050501720165010178020104",
        ),
        (PeerRequest::VmList, "010507"),
    ];
    for (ask, want) in asks {
        let bytes = encode(1, &Envelope { stamp: Stamp(5), body: ask.clone() }).expect("bytes");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(hex, want, "{ask:?}");
    }
    let tells = [
        (PeerResponse::Done, "010503"),
        (PeerResponse::NotOwner, "010504"),
        (PeerResponse::Table(None), "01050b00"),
    ];
    for (tell, want) in tells {
        let bytes = encode(1, &Envelope { stamp: Stamp(5), body: tell.clone() }).expect("bytes");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        assert_eq!(hex, want, "{tell:?}");
    }
}

#[test]
fn a_newer_entrys_events_do_not_hide_the_others() {
    let text = r#"[{"at": 1, "who": "e1", "event": "stopping"},
        {"at": 2, "who": "e1", "event": "from-the-future", "what": {"ever": [1]}}]"#;
    let events: Vec<Event> = serde_json::from_str(text).expect("events");
    assert_eq!(events[0].kind, EventKind::ProcessStopping);
    assert_eq!(events[1].to_string(), "at=2 who=e1 event=other");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_text_makes_the_table_panic(text in "\\PC{0,400}") {
        let _ = Table::parse(&text);
    }

    #[test]
    fn no_row_makes_the_table_panic(cells in prop::collection::vec("[a-z0-9:,\" -]{0,12}", 0..20)) {
        let _ = Table::parse(&format!("{HEAD}\n{}\n", cells.join(",")));
    }

    #[test]
    fn no_text_makes_the_settings_panic(text in "[\\[\\]{}:,\"a-z0-9/* \n.-]{0,200}") {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<PeerRequest>(NEWEST_VERSION, &bytes);
    }

    #[test]
    fn job_ids_come_back_from_text(counter in any::<u64>(), incarnation in any::<u64>()) {
        let me = EntryId { name: "e".into(), incarnation };
        let id = JobId::new("rack-1".into(), &me, counter);
        prop_assert_eq!(id.to_string().parse::<JobId>(), Ok(id));
    }

    #[test]
    fn no_text_makes_a_job_id_panic(text in "\\PC{0,40}") {
        let _ = text.parse::<JobId>();
    }
}
