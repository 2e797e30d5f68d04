//! The command line: exit codes, help, checks that need no entry, keys, the demo and `explain`.

use std::process::{Command, Output};

fn sprucerudder(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sprucerudder"));
    command.env_remove("SPRUCERUDDER_TOKEN").args(args).output().expect("run")
}

fn temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("spruce-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("write");
    path.to_str().expect("path").to_string()
}

#[test]
fn exit_codes_are_as_documented() {
    assert_eq!(sprucerudder(&["--help"]).status.code(), Some(0));
    assert_eq!(sprucerudder(&["no-such-command"]).status.code(), Some(2));
    assert_eq!(sprucerudder(&["table", "check", "/no/such/file"]).status.code(), Some(1));
    let unreachable = ["status", "--addr", "127.0.0.1:1", "--token", "x"];
    assert_eq!(sprucerudder(&unreachable).status.code(), Some(1));
}

#[test]
fn every_command_has_help_and_an_example() {
    let commands = [
        "entry", "standin", "demo", "table", "job", "status", "drain", "timeline", "keys",
        "explain",
    ];
    for command in commands {
        let help = sprucerudder(&[command, "--help"]);
        let text = String::from_utf8_lossy(&help.stdout).into_owned();
        assert!(help.status.success() && text.contains("Example: sprucerudder"), "{text}");
    }
}

#[test]
fn a_table_is_checked_without_an_entry() {
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/example/table.csv");
    let checked = sprucerudder(&["table", "check", good]);
    assert!(checked.status.success());
    assert_eq!(checked.stdout, b"ok rows=7 leaving=0\n");
    let text =
        std::fs::read_to_string(good).expect("table").replace("preview,nilewire", "preview,x y");
    let bad = temp_file("bad.csv", &text);
    let checked = sprucerudder(&["table", "check", &bad]);
    assert_eq!(checked.status.code(), Some(3));
    let stderr = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert!(stderr.contains("line 2") && stderr.contains("team"), "{stderr}");
    std::fs::remove_file(bad).expect("remove");
}

#[test]
fn invalid_settings_are_refused_with_all_faults() {
    let path = temp_file("bad.jsonc", "// nothing right\n{\n\"name\": 5,\n\"beat\": 1\n}\n");
    let run = sprucerudder(&["entry", "--settings", &path]);
    assert_eq!(run.status.code(), Some(3));
    let stderr = String::from_utf8_lossy(&run.stderr).into_owned();
    for part in ["line 3: name", "line 4: beat", "domain", "platform"] {
        assert!(stderr.contains(part), "{part} in {stderr}");
    }
    std::fs::remove_file(path).expect("remove");
}

#[test]
fn keys_for_new_entries_are_issued_by_the_same_authority() {
    let first = sprucerudder(&["keys", "--cell", "delta", "e1"]);
    let all: serde_json::Value = serde_json::from_slice(&first.stdout).expect("json");
    let path = temp_file("keys.json", &all.to_string());
    let second = sprucerudder(&["keys", "--authority", &path, "e2"]);
    let more: serde_json::Value = serde_json::from_slice(&second.stdout).expect("json");
    assert_eq!(all["entries"]["e1"]["authority"], more["entries"]["e2"]["authority"]);
    assert_eq!(all["authority"], more["authority"]);
    std::fs::remove_file(path).expect("remove");
}

#[test]
fn the_demo_succeeds() {
    let demo = sprucerudder(&["demo", "--seconds", "2"]);
    let text = String::from_utf8_lossy(&demo.stdout).into_owned();
    assert!(demo.status.success(), "{text}{}", String::from_utf8_lossy(&demo.stderr));
    for part in ["preview", "campaign", "packing", "bytes/s a node", "broken=0"] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

#[test]
fn explain_sums_waits_by_queue_and_reason() {
    use std::io::Write;
    use std::process::Stdio;
    let log = "\
        1.20 edge-1 event=waited step=00000000000000a1.0.0 queue=build for=advice ms=600 next=room tasks=4
        1.90 edge-1 event=waited step=00000000000000a1.0.0 queue=build for=room ms=700 next=none tasks=0
        2.10 edge-2 event=waited step=00000000000000a2.0.0 queue=build for=room ms=2300 next=none tasks=0
        2.20 edge-2 event=start task=00000000000000a2.0.0.0 run=1 worker=w age_ms=2300
        2.30 edge-2 event=waited step=00000000000000a3.0.0 queue=build for=room m";
    let explain = |args: &[&str]| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sprucerudder"))
            .arg("explain")
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("run");
        child.stdin.take().expect("stdin").write_all(log.as_bytes()).expect("write");
        let output = child.wait_with_output().expect("output");
        String::from_utf8(output.stdout).expect("text")
    };
    let row = |text: &str, reason: &str| {
        let row = text.lines().find(|line| line.contains(reason)).unwrap_or_default().to_string();
        row.split_whitespace().map(str::to_string).collect::<Vec<_>>()
    };
    let all = explain(&[]);
    assert_eq!(row(&all, "room")[2..], ["2", "3", "2300", "2300", "2300"], "{all}");
    assert_eq!(row(&all, "advice")[2..], ["1", "0", "600", "600", "600"], "{all}");
    let one = explain(&["--job", "00000000000000a1"]);
    assert_eq!(row(&one, "room")[2..], ["1", "0", "700", "700", "700"], "{one}");
}
