//! Settings of an entry, read from JSON with comments. All values are validated, and all faults reported at
//! once.

use crate::clock::Millis;
use crate::id::Name;
use crate::table::is_name;
use crate::wire::msg::{NEWEST_VERSION, OLDEST_VERSION};
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// Type and valid range of a setting's value.
#[derive(Debug, Clone, Copy)]
enum ValueKind {
    Name,
    Addr,
    Millis(u64, u64),
    Count(u64, u64),
    Level,
    Pem,
    Token,
    Right,
    Group(&'static [SettingField]),
    List(&'static [SettingField]),
}

/// Description of a setting.
#[derive(Debug, Clone, Copy)]
struct SettingField {
    name: &'static str,
    kind: ValueKind,
    /// Default value as JSON; `None` if the setting is required.
    default: Option<&'static str>,
    help: &'static str,
}

const fn field(
    name: &'static str,
    kind: ValueKind,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingField {
    SettingField { name, kind, default, help }
}

/// Maximum length of time in a setting, in milliseconds: one hour.
const MAX_INTERVAL_MS: u64 = 3_600_000;

const PLATFORM_FIELDS: [SettingField; 2] = [
    field("log", ValueKind::Addr, None, "Address of the platform's log."),
    field("list", ValueKind::Addr, None, "Address of the platform's VM list."),
];

const PEER_FIELDS: [SettingField; 3] = [
    field("name", ValueKind::Name, None, "The other entry's name."),
    field("domain", ValueKind::Name, None, "Its failure domain."),
    field("addr", ValueKind::Addr, None, "Its address for other entries (UDP)."),
];

const TOKEN_FIELDS: [SettingField; 3] = [
    field("name", ValueKind::Name, None, "Who uses the token."),
    field("token", ValueKind::Token, None, "The bearer token, 16 characters or more."),
    field("right", ValueKind::Right, None, "\"operator\", or \"team:NAME\" for one team."),
];

const KEY_FIELDS: [SettingField; 3] = [
    field("authority", ValueKind::Pem, None, "The cell's certificate authority, PEM."),
    field("certificate", ValueKind::Pem, None, "This entry's certificate, PEM."),
    field("secret", ValueKind::Pem, None, "This entry's private key, PEM."),
];

const SETTINGS_FIELDS: [SettingField; 16] = [
    field("name", ValueKind::Name, None, "This entry's name, once in the cell."),
    field("domain", ValueKind::Name, None, "This entry's failure domain."),
    field("http", ValueKind::Addr, None, "Address for callers and operators (TCP)."),
    field("peer", ValueKind::Addr, None, "Address for other entries (UDP)."),
    field("platform", ValueKind::Group(&PLATFORM_FIELDS), None, "The platform's services."),
    field(
        "keys",
        ValueKind::Group(&KEY_FIELDS),
        None,
        "Keys between entries; `sprucerudder keys` makes them.",
    ),
    field(
        "peers",
        ValueKind::List(&PEER_FIELDS),
        Some("[]"),
        "Other entries; the VM list may name more.",
    ),
    field(
        "tokens",
        ValueKind::List(&TOKEN_FIELDS),
        Some("[]"),
        "Who may call, and with what rights.",
    ),
    field("log_level", ValueKind::Level, Some("\"info\""), "error, warn, info, debug or trace."),
    field(
        "body_max",
        ValueKind::Count(1, 16_777_216),
        Some("1048576"),
        "Largest body taken, bytes.",
    ),
    field(
        "beat_every",
        ValueKind::Millis(50, 1_000),
        Some("500"),
        "Heartbeats between entries, ms.",
    ),
    field("list_every", ValueKind::Millis(100, 2_000), Some("1000"), "Reads of the VM list, ms."),
    field(
        "sync_every",
        ValueKind::Millis(100, 2_000),
        Some("1000"),
        "Contact with each worker, ms.",
    ),
    field(
        "log_refresh",
        ValueKind::Millis(1_000, MAX_INTERVAL_MS),
        Some("120000"),
        "What must live is appended again, ms; under half the log's retention.",
    ),
    field(
        "stop_grace",
        ValueKind::Millis(0, MAX_INTERVAL_MS),
        Some("3000"),
        "A stopping entry still takes callers for this long, ms.",
    ),
    field(
        "wire_version",
        ValueKind::Count(OLDEST_VERSION as u64, NEWEST_VERSION as u64),
        Some("2"),
        "Newest version of messages between entries; two entries use the newest both know.",
    ),
];

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the log.
    pub log: Name,
    /// Address of the VM list.
    pub list: Name,
}

/// Name and address of another entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddr {
    /// Name of the entry.
    pub name: Name,
    /// Failure domain of the entry.
    pub domain: Name,
    /// Address for other entries.
    pub addr: SocketAddr,
}

/// A bearer token and the rights that it grants.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Name of the user.
    pub name: Name,
    /// The token.
    pub token: Name,
    /// Right of the user: `operator` or `team:NAME`.
    pub right: Name,
}

/// Certificates and private key for connections between entries, as PEM text.
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

/// Validated settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This entry's name.
    pub name: Name,
    /// This entry's failure domain.
    pub domain: Name,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other entries.
    pub peer: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Certificates and private key for connections between entries.
    pub keys: Keys,
    /// Other entries.
    pub peers: Vec<PeerAddr>,
    /// Bearer tokens of callers and operators.
    pub tokens: Vec<Token>,
    /// Minimum level of log lines.
    pub log_level: Name,
    /// Maximum size of a request body, in bytes.
    #[serde(rename = "body_max")]
    pub max_body: usize,
    /// Interval of heartbeats to other entries.
    #[serde(rename = "beat_every")]
    pub heartbeat_interval: Millis,
    /// Interval of reads of the VM list.
    #[serde(rename = "list_every")]
    pub list_interval: Millis,
    /// Interval of calls to each worker.
    #[serde(rename = "sync_every")]
    pub sync_interval: Millis,
    /// Interval after which live records are appended again, so that the log's retention doesn't delete them.
    #[serde(rename = "log_refresh")]
    pub refresh_interval: Millis,
    /// How long an entry that is shutting down still accepts requests.
    pub stop_grace: Millis,
    /// Newest message version that this entry uses with other entries.
    pub wire_version: u8,
}

/// A fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line of the file, from 1.
    pub line: usize,
    /// Path of the setting, with dots between levels.
    pub path: String,
    /// Description of a valid value.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: expected {}", self.line, self.path, self.expected)
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

    fn check_object(&mut self, object: &Object<'_>, fields: &[SettingField], path: &str) {
        let nested =
            |name: &str| if path.is_empty() { name.into() } else { format!("{path}.{name}") };
        let mut seen = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let at = property.range().start;
            match fields.iter().find(|field| field.name == name) {
                _ if seen.contains(&name) => self.add_fault(at, &nested(name), "each setting once"),
                Some(field) => self.check_value(&property.value, field, &nested(name)),
                None => {
                    self.add_fault(at, &nested(name), &format!("one of {}", field_names(fields)))
                }
            }
            seen.push(name);
        }
        for field in fields {
            if field.default.is_none() && !seen.contains(&field.name) {
                self.add_fault(object.range().start, &nested(field.name), &expected(field.kind));
            }
        }
    }

    fn check_value(&mut self, value: &Value<'_>, field: &SettingField, path: &str) {
        match (field.kind, value) {
            (ValueKind::Group(fields), Value::Object(object)) => {
                self.check_object(object, fields, path)
            }
            (ValueKind::List(fields), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    match element {
                        Value::Object(object) => self.check_object(object, fields, &path),
                        other => self.add_fault(other.range().start, &path, "an object"),
                    }
                }
            }
            (kind, Value::StringLit(text)) if is_valid_text(kind, &text.value) => {}
            (kind, Value::NumberLit(number)) if is_valid_number(kind, number.value) => {}
            (kind, other) => self.add_fault(other.range().start, path, &expected(kind)),
        }
    }
}

fn field_names(fields: &[SettingField]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

fn is_valid_text(kind: ValueKind, text: &str) -> bool {
    match kind {
        ValueKind::Name => is_name(text),
        ValueKind::Addr => text.parse::<SocketAddr>().is_ok(),
        ValueKind::Level => text.parse::<log::LevelFilter>().is_ok(),
        ValueKind::Pem => text.starts_with("-----BEGIN "),
        ValueKind::Token => text.len() >= 16 && text.chars().all(|c| c.is_ascii_graphic()),
        ValueKind::Right => text == "operator" || text.strip_prefix("team:").is_some_and(is_name),
        ValueKind::Millis(..) | ValueKind::Count(..) | ValueKind::Group(_) | ValueKind::List(_) => {
            false
        }
    }
}

fn is_valid_number(kind: ValueKind, text: &str) -> bool {
    let number = text.parse::<u64>();
    match (kind, number) {
        (ValueKind::Millis(min, max) | ValueKind::Count(min, max), Ok(n)) => {
            (min..=max).contains(&n)
        }
        _ => false,
    }
}

/// Describes the valid values of a kind.
fn expected(kind: ValueKind) -> String {
    match kind {
        ValueKind::Name => "a text of letters, digits, '-' and '_'".into(),
        ValueKind::Addr => "a text IP:PORT".into(),
        ValueKind::Millis(min, max) => {
            format!("a whole number of milliseconds from {min} to {max}")
        }
        ValueKind::Count(min, max) => format!("a whole number from {min} to {max}"),
        ValueKind::Level => "error, warn, info, debug or trace".into(),
        ValueKind::Pem => "PEM text".into(),
        ValueKind::Token => "a text of 16 or more printable characters without blanks".into(),
        ValueKind::Right => "\"operator\" or \"team:NAME\"".into(),
        ValueKind::Group(fields) => format!("an object with {}", field_names(fields)),
        ValueKind::List(fields) => format!("a list of objects with {}", field_names(fields)),
    }
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    /// All faults of the text, each with its line.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let file_fault = |expected: String| vec![Fault { line: 1, path: "file".into(), expected }];
        let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
        let ast = match parsed {
            Ok(result) => result.value,
            Err(err) => return Err(file_fault(format!("JSON with comments: {err}"))),
        };
        let Some(Value::Object(object)) = ast else { return Err(file_fault("an object".into())) };
        let mut checker = Checker { text, faults: Vec::new() };
        checker.check_object(&object, &SETTINGS_FIELDS, "");
        if !checker.faults.is_empty() {
            return Err(checker.faults);
        }
        let mut value: serde_json::Value = Value::Object(object).into();
        add_defaults(&mut value);
        let settings: Self =
            serde_json::from_value(value).map_err(|err| file_fault(err.to_string()))?;
        let faults = settings.find_conflicts();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// Finds values that are valid alone but conflict with each other.
    fn find_conflicts(&self) -> Vec<Fault> {
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

    /// Returns a settings file with all settings, their defaults and their meanings.
    pub fn template() -> String {
        let mut text = String::from("// Settings of an entry. Required ones have no default.\n{\n");
        write_fields(&mut text, &SETTINGS_FIELDS, "  ");
        text.push_str("}\n");
        text
    }
}

fn write_fields(text: &mut String, fields: &[SettingField], indent: &str) {
    for field in fields {
        text.push_str(&format!("{indent}// {}\n", field.help));
        match (field.kind, field.default) {
            (ValueKind::Group(nested), _) => {
                text.push_str(&format!("{indent}\"{}\": {{\n", field.name));
                write_fields(text, nested, &format!("{indent}  "));
                text.push_str(&format!("{indent}}},\n"));
            }
            (ValueKind::List(nested), _) => {
                text.push_str(&format!("{indent}\"{}\": [{{\n", field.name));
                write_fields(text, nested, &format!("{indent}  "));
                text.push_str(&format!("{indent}}}],\n"));
            }
            (_, Some(default)) => {
                text.push_str(&format!("{indent}\"{}\": {default},\n", field.name));
            }
            (kind, None) => {
                let sample = example_value(kind);
                text.push_str(&format!("{indent}\"{}\": {sample}, // required\n", field.name));
            }
        }
    }
}

fn example_value(kind: ValueKind) -> &'static str {
    match kind {
        ValueKind::Name => "\"nasr-1\"",
        ValueKind::Addr => "\"127.0.0.1:7000\"",
        ValueKind::Pem => "\"-----BEGIN ...\"",
        ValueKind::Token => "\"0123456789abcdef\"",
        ValueKind::Right => "\"operator\"",
        _ => "null",
    }
}

fn add_defaults(value: &mut serde_json::Value) {
    let Some(map) = value.as_object_mut() else { return };
    for field in &SETTINGS_FIELDS {
        let default = field.default.and_then(|text| serde_json::from_str(text).ok());
        if let Some(default) = default {
            map.entry(field.name).or_insert(default);
        }
    }
}
