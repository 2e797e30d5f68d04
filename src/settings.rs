//! An entry's settings: JSON with comments, every value checked, every fault reported at once.

use crate::clock::Millis;
use crate::id::Name;
use crate::table::is_name;
use crate::wire::msg::{NEWEST, OLDEST};
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// What a value has to be.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Name,
    Addr,
    Millis(u64, u64),
    Count(u64, u64),
    Level,
    Pem,
    Token,
    Right,
    Group(&'static [Field]),
    List(&'static [Field]),
}

/// One setting.
#[derive(Debug, Clone, Copy)]
struct Field {
    name: &'static str,
    kind: Kind,
    /// JSON text; `None`: the setting is required.
    default: Option<&'static str>,
    help: &'static str,
}

const fn field(
    name: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    help: &'static str,
) -> Field {
    Field { name, kind, default, help }
}

/// The longest time that a setting may have, in milliseconds.
const MAX_INTERVAL_MS: u64 = 3_600_000;

const PLATFORM: [Field; 2] = [
    field("log", Kind::Addr, None, "Address of the platform's log."),
    field("list", Kind::Addr, None, "Address of the platform's VM list."),
];

const PEERS: [Field; 3] = [
    field("name", Kind::Name, None, "The other entry's name."),
    field("domain", Kind::Name, None, "Its failure domain."),
    field("addr", Kind::Addr, None, "Its address for other entries (UDP)."),
];

const TOKENS: [Field; 3] = [
    field("name", Kind::Name, None, "Who uses the token."),
    field("token", Kind::Token, None, "The bearer token, 16 characters or more."),
    field("right", Kind::Right, None, "\"operator\", or \"team:NAME\" for one team."),
];

const KEYS: [Field; 3] = [
    field("authority", Kind::Pem, None, "The cell's certificate authority, PEM."),
    field("certificate", Kind::Pem, None, "This entry's certificate, PEM."),
    field("secret", Kind::Pem, None, "This entry's private key, PEM."),
];

const FIELDS: [Field; 16] = [
    field("name", Kind::Name, None, "This entry's name, once in the cell."),
    field("domain", Kind::Name, None, "This entry's failure domain."),
    field("http", Kind::Addr, None, "Address for callers and operators (TCP)."),
    field("peer", Kind::Addr, None, "Address for other entries (UDP)."),
    field("platform", Kind::Group(&PLATFORM), None, "The platform's services."),
    field(
        "keys",
        Kind::Group(&KEYS),
        None,
        "Keys between entries; `sprucerudder keys` makes them.",
    ),
    field("peers", Kind::List(&PEERS), Some("[]"), "Other entries; the VM list may name more."),
    field("tokens", Kind::List(&TOKENS), Some("[]"), "Who may call, and with what rights."),
    field("log_level", Kind::Level, Some("\"info\""), "error, warn, info, debug or trace."),
    field("body_max", Kind::Count(1, 16_777_216), Some("1048576"), "Largest body taken, bytes."),
    field("beat_every", Kind::Millis(50, 1_000), Some("500"), "Heartbeats between entries, ms."),
    field("list_every", Kind::Millis(100, 2_000), Some("1000"), "Reads of the VM list, ms."),
    field("sync_every", Kind::Millis(100, 2_000), Some("1000"), "Contact with each worker, ms."),
    field(
        "log_refresh",
        Kind::Millis(1_000, MAX_INTERVAL_MS),
        Some("120000"),
        "What must live is appended again, ms; under half the log's retention.",
    ),
    field(
        "stop_grace",
        Kind::Millis(0, MAX_INTERVAL_MS),
        Some("3000"),
        "A stopping entry still takes callers for this long, ms.",
    ),
    field(
        "wire_version",
        Kind::Count(OLDEST as u64, NEWEST as u64),
        Some("2"),
        "Newest version of messages between entries; two entries use the newest both know.",
    ),
];

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log.
    pub log: Name,
    /// The VM list.
    pub list: Name,
}

/// Another entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddr {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its address.
    pub addr: SocketAddr,
}

/// A bearer token.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Who uses it.
    pub name: Name,
    /// The token.
    pub token: Name,
    /// `operator` or `team:NAME`.
    pub right: Name,
}

/// Keys between entries, as PEM text.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The cell's certificate authority.
    pub authority: Name,
    /// This entry's certificate.
    pub certificate: Name,
    /// This entry's private key.
    pub secret: Name,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keys(..)")
    }
}

/// Checked settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This entry's name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other entries.
    pub peer: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Keys between entries.
    pub keys: Keys,
    /// Other entries.
    pub peers: Vec<PeerAddr>,
    /// Who may call.
    pub tokens: Vec<Token>,
    /// What is logged.
    pub log_level: Name,
    /// Largest body taken, in bytes.
    #[serde(rename = "body_max")]
    pub max_body: usize,
    /// Time between heartbeats.
    #[serde(rename = "beat_every")]
    pub heartbeat_interval: Millis,
    /// Time between reads of the VM list.
    #[serde(rename = "list_every")]
    pub list_interval: Millis,
    /// Time between contacts with each worker.
    #[serde(rename = "sync_every")]
    pub sync_interval: Millis,
    /// Time between repeats of what retention would drop.
    #[serde(rename = "log_refresh")]
    pub refresh_interval: Millis,
    /// How long a stopping entry still takes callers.
    pub stop_grace: Millis,
    /// The newest version of messages that this entry speaks with others.
    pub wire_version: u8,
}

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The setting, with dots between levels.
    pub path: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: want {}", self.line, self.path, self.expected)
    }
}

struct Checker<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn add_fault(&mut self, offset: usize, path: &str, expected: &str) {
        let line = self.text[..offset].matches('\n').count() + 1;
        self.faults.push(Fault { line, path: path.to_string(), expected: expected.to_string() });
    }

    fn check_object(&mut self, object: &Object<'_>, fields: &[Field], path: &str) {
        let inner =
            |name: &str| if path.is_empty() { name.into() } else { format!("{path}.{name}") };
        let mut seen = Vec::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            let at = prop.range().start;
            match fields.iter().find(|field| field.name == name) {
                _ if seen.contains(&name) => self.add_fault(at, &inner(name), "each setting once"),
                Some(field) => self.check_value(&prop.value, field, &inner(name)),
                None => {
                    self.add_fault(at, &inner(name), &format!("one of {}", field_names(fields)))
                }
            }
            seen.push(name);
        }
        for field in fields {
            if field.default.is_none() && !seen.contains(&field.name) {
                self.add_fault(object.range().start, &inner(field.name), &expected(field.kind));
            }
        }
    }

    fn check_value(&mut self, value: &Value<'_>, field: &Field, path: &str) {
        match (field.kind, value) {
            (Kind::Group(fields), Value::Object(object)) => self.check_object(object, fields, path),
            (Kind::List(fields), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    match element {
                        Value::Object(object) => self.check_object(object, fields, &path),
                        other => self.add_fault(other.range().start, &path, "an object"),
                    }
                }
            }
            (kind, Value::StringLit(text)) if text_fits(kind, &text.value) => {}
            (kind, Value::NumberLit(number)) if number_fits(kind, number.value) => {}
            (kind, other) => self.add_fault(other.range().start, path, &expected(kind)),
        }
    }
}

fn field_names(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

fn text_fits(kind: Kind, text: &str) -> bool {
    match kind {
        Kind::Name => is_name(text),
        Kind::Addr => text.parse::<SocketAddr>().is_ok(),
        Kind::Level => text.parse::<log::LevelFilter>().is_ok(),
        Kind::Pem => text.starts_with("-----BEGIN "),
        Kind::Token => text.len() >= 16 && text.chars().all(|c| c.is_ascii_graphic()),
        Kind::Right => text == "operator" || text.strip_prefix("team:").is_some_and(is_name),
        Kind::Millis(..) | Kind::Count(..) | Kind::Group(_) | Kind::List(_) => false,
    }
}

fn number_fits(kind: Kind, text: &str) -> bool {
    let number = text.parse::<u64>();
    match (kind, number) {
        (Kind::Millis(min, max) | Kind::Count(min, max), Ok(n)) => (min..=max).contains(&n),
        _ => false,
    }
}

fn expected(kind: Kind) -> String {
    match kind {
        Kind::Name => "a text of letters, digits, '-' and '_'".into(),
        Kind::Addr => "a text IP:PORT".into(),
        Kind::Millis(min, max) => format!("a whole number of milliseconds from {min} to {max}"),
        Kind::Count(min, max) => format!("a whole number from {min} to {max}"),
        Kind::Level => "error, warn, info, debug or trace".into(),
        Kind::Pem => "PEM text".into(),
        Kind::Token => "a text of 16 or more printable characters without blanks".into(),
        Kind::Right => "\"operator\" or \"team:NAME\"".into(),
        Kind::Group(fields) => format!("an object with {}", field_names(fields)),
        Kind::List(fields) => format!("a list of objects with {}", field_names(fields)),
    }
}

impl Settings {
    /// Reads settings.
    ///
    /// # Errors
    /// Every fault of the text, each with its line.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let file_fault = |expected: String| vec![Fault { line: 1, path: "file".into(), expected }];
        let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
        let ast = match parsed {
            Ok(result) => result.value,
            Err(err) => return Err(file_fault(format!("JSON with comments: {err}"))),
        };
        let Some(Value::Object(object)) = ast else { return Err(file_fault("an object".into())) };
        let mut checker = Checker { text, faults: Vec::new() };
        checker.check_object(&object, &FIELDS, "");
        if !checker.faults.is_empty() {
            return Err(checker.faults);
        }
        let mut value: serde_json::Value = Value::Object(object).into();
        add_defaults(&mut value);
        let settings: Self =
            serde_json::from_value(value).map_err(|err| file_fault(err.to_string()))?;
        let faults = settings.conflicts();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// Combinations that cannot work.
    fn conflicts(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut add = |path: &str, expected: &str| {
            faults.push(Fault { line: 1, path: path.into(), expected: expected.into() });
        };
        let mut names: Vec<&Name> = self.peers.iter().map(|peer| &peer.name).collect();
        names.push(&self.name);
        let count = names.len();
        names.sort();
        names.dedup();
        if names.len() < count {
            add("peers", "each entry once, and not this one");
        }
        let mut tokens: Vec<&Name> = self.tokens.iter().map(|token| &token.token).collect();
        let count = tokens.len();
        tokens.sort();
        tokens.dedup();
        if tokens.len() < count {
            add("tokens", "a token of its own for each user");
        }
        faults
    }

    /// A settings file with every setting, its default and what it means.
    pub fn explain() -> String {
        let mut text = String::from("// Settings of an entry. Required ones have no default.\n{\n");
        explain_fields(&mut text, &FIELDS, "  ");
        text.push_str("}\n");
        text
    }
}

fn explain_fields(text: &mut String, fields: &[Field], indent: &str) {
    for field in fields {
        text.push_str(&format!("{indent}// {}\n", field.help));
        match (field.kind, field.default) {
            (Kind::Group(inner), _) => {
                text.push_str(&format!("{indent}\"{}\": {{\n", field.name));
                explain_fields(text, inner, &format!("{indent}  "));
                text.push_str(&format!("{indent}}},\n"));
            }
            (Kind::List(inner), _) => {
                text.push_str(&format!("{indent}\"{}\": [{{\n", field.name));
                explain_fields(text, inner, &format!("{indent}  "));
                text.push_str(&format!("{indent}}}],\n"));
            }
            (_, Some(default)) => {
                text.push_str(&format!("{indent}\"{}\": {default},\n", field.name));
            }
            (kind, None) => {
                let sample = example(kind);
                text.push_str(&format!("{indent}\"{}\": {sample}, // required\n", field.name));
            }
        }
    }
}

fn example(kind: Kind) -> &'static str {
    match kind {
        Kind::Name => "\"nasr-1\"",
        Kind::Addr => "\"127.0.0.1:7000\"",
        Kind::Pem => "\"-----BEGIN ...\"",
        Kind::Token => "\"0123456789abcdef\"",
        Kind::Right => "\"operator\"",
        _ => "null",
    }
}

fn add_defaults(value: &mut serde_json::Value) {
    let Some(map) = value.as_object_mut() else { return };
    for field in &FIELDS {
        let default = field.default.and_then(|text| serde_json::from_str(text).ok());
        if let Some(default) = default {
            map.entry(field.name).or_insert(default);
        }
    }
}
