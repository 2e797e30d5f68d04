//! HTTP client of an entry's administration API, and printing of its JSON responses.

use crate::clock::Millis;
use crate::cmd::RefusedError;
use crate::platform::http::{HttpClient, uri};
use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use serde_json::Value;
use std::net::SocketAddr;

/// Timeout of one API call.
const CALL_TIMEOUT: Millis = Millis(15_000);

/// The entry to call and the token to call it with.
#[derive(Debug, Clone, Bpaf)]
pub struct Target {
    /// Address of an entry
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 7000))), display_fallback)]
    addr: SocketAddr,
    /// Bearer token; SPRUCERUDDER_TOKEN is read too
    #[bpaf(argument("TOKEN"), env("SPRUCERUDDER_TOKEN"))]
    token: String,
}

/// API client for the run of one command.
pub struct Client {
    target: Target,
    http: HttpClient,
}

impl Client {
    /// Creates a client that calls `target`.
    pub fn new(target: Target) -> Self {
        Self { target, http: HttpClient::default() }
    }

    /// Calls the API and returns the JSON body of its response; `key` is the idempotency key.
    ///
    /// # Errors
    /// The entry can't be reached, or answers with an error status: then a [`RefusedError`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        content_type: &str,
        key: Option<&str>,
        body: String,
    ) -> Result<Value> {
        let addr = self.target.addr.to_string();
        let mut builder = Request::builder()
            .method(method)
            .uri(uri(&addr, path)?)
            .header(AUTHORIZATION, format!("Bearer {}", self.target.token))
            .header(CONTENT_TYPE, content_type);
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(Full::from(Bytes::from(body)))?;
        let answer =
            self.http.send(&addr, request, CALL_TIMEOUT).await.context("cannot reach the entry")?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        match answer.status.is_success() {
            true => Ok(value),
            false => bail!(RefusedError(describe_refusal(answer.status.as_u16(), &value))),
        }
    }

    /// Sends a GET request and returns the JSON body of the response.
    pub async fn get(&self, path: &str) -> Result<Value> {
        self.call(Method::GET, path, "application/json", None, String::new()).await
    }
}

/// Describes an error response in one line.
fn describe_refusal(status: u16, problem: &Value) -> String {
    let field = |name: &str| match problem.get(name) {
        Some(Value::String(text)) => format!(" {name}={text}"),
        Some(value) => format!(" {name}={value}"),
        None => String::new(),
    };
    let fields_text: String =
        ["reason", "run", "rev", "by", "faults"].iter().map(|n| field(n)).collect();
    format!("refused: status={status}{fields_text}")
}

/// Prints a value as JSON, or as a line of key=value pairs for each object.
pub fn print_value(value: &Value, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(value)?);
        return Ok(());
    }
    match value {
        Value::Array(items) => items.iter().for_each(|item| println!("{}", format_line(item))),
        other => println!("{}", format_line(other)),
    }
    Ok(())
}

/// Formats an object as one line of key=value pairs.
pub fn format_line(value: &Value) -> String {
    let Value::Object(fields) = value else { return value.to_string() };
    let pair = |(key, value): (&String, &Value)| match value {
        Value::String(text) => format!("{key}={text}"),
        other => format!("{key}={other}"),
    };
    fields.iter().map(pair).collect::<Vec<_>>().join(" ")
}
