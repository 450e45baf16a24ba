//! Client of the operators' API.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use cassiawheel_edge::{ClientError, HttpClient};
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, HeaderValue},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::exit::CommandError;

/// Longest wait for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// Environment variable with the token, if no file is named.
const TOKEN_VARIABLE: &str = "CASSIAWHEEL_TOKEN";

/// Environment variable with the operator address of an entry, if none is named.
const ADMIN_VARIABLE: &str = "CASSIAWHEEL_ADMIN";

/// Options for the connection and the output format.
pub(super) struct ConnectOptions {
    /// Address of an entry's operator listener.
    pub(super) admin: Option<SocketAddr>,
    /// File with the bearer token.
    pub(super) token_file: Option<PathBuf>,
    /// Whether to print JSON instead of a table.
    pub(super) json: bool,
}

/// Client with the address and token of an entry.
pub(super) struct AdminClient {
    addr: SocketAddr,
    authorization: HeaderValue,
    json: bool,
}

/// A reply with any status.
pub(super) struct AdminReply {
    /// HTTP status.
    pub(super) status: StatusCode,
    /// Body as received.
    pub(super) body: Bytes,
}

/// Body of an error reply.
#[derive(Deserialize)]
struct RefusalBody {
    #[serde(default)]
    message: String,
    #[serde(default)]
    findings: Vec<cassiawheel_model::InputFinding>,
}

impl ConnectOptions {
    /// Creates the client from options and environment.
    pub(super) fn client(self) -> Result<AdminClient, CommandError> {
        let addr = match self.admin {
            Some(addr) => addr,
            None => admin_from_env()?,
        };
        let token = match &self.token_file {
            Some(file) => std::fs::read_to_string(file).map_err(|error| {
                CommandError::Findings(format!("{}: cannot be read: {error}", file.display()))
            })?,
            None => std::env::var(TOKEN_VARIABLE).map_err(|_| {
                let message =
                    format!("no token: name its file with --token-file, or set {TOKEN_VARIABLE}");
                CommandError::Refused(message)
            })?,
        };
        let authorization = HeaderValue::from_str(&format!("Bearer {}", token.trim()))
            .map_err(|_| CommandError::Refused("the token is not plain text".to_owned()))?;
        Ok(AdminClient { addr, authorization, json: self.json })
    }
}

fn admin_from_env() -> Result<SocketAddr, CommandError> {
    let text = std::env::var(ADMIN_VARIABLE).map_err(|_| {
        let message = format!(
            "no entry: give an entry's operator address with --admin IP:PORT, or set {ADMIN_VARIABLE}"
        );
        CommandError::Findings(message)
    })?;
    text.parse().map_err(|_| {
        CommandError::Findings(format!("{ADMIN_VARIABLE}: {text:?} is not an address IP:PORT"))
    })
}

impl AdminClient {
    /// Sends a request and returns its reply, whatever its status is.
    pub(super) fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<AdminReply, CallFailure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(AUTHORIZATION, self.authorization.clone())
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallFailure::NotSent(error.to_string()))?;
        let client = HttpClient::default();
        let reply = cassiawheel_runtime::run(1, client.send_and_read(request, REPLY_TIMEOUT));
        match reply {
            Ok(Ok(reply)) => Ok(AdminReply { status: reply.status(), body: reply.into_body() }),
            Ok(Err(ClientError::NotSent(detail))) => {
                Err(CallFailure::NotSent(format!("{}: {detail}", self.addr)))
            }
            Ok(Err(ClientError::NoAnswer(detail))) => {
                Err(CallFailure::NoAnswer(format!("{}: {detail}", self.addr)))
            }
            Ok(Err(error @ ClientError::TooLong(_))) => {
                Err(CallFailure::NoAnswer(format!("{}: {error}", self.addr)))
            }
            Err(error) => Err(CallFailure::NotSent(error.to_string())),
        }
    }

    /// Requests `path` and parses the body of a successful reply.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.call(Method::GET, path, Vec::new())?.parse_success()
    }

    /// Prints `value` as JSON or, formatted by `table`, as text.
    pub(super) fn print<T: Serialize>(
        &self,
        value: &T,
        table: impl FnOnce(&T) -> String,
    ) -> Result<(), CommandError> {
        if self.json {
            println!("{}", serde_json::to_string(value).map_err(anyhow::Error::from)?);
        } else {
            println!("{}", table(value).trim_end());
        }
        Ok(())
    }
}

/// Failure without a reply.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// The request was not sent.
    NotSent(String),
    /// The request may have arrived.
    NoAnswer(String),
}

impl From<CallFailure> for CommandError {
    fn from(failure: CallFailure) -> Self {
        let (CallFailure::NotSent(detail) | CallFailure::NoAnswer(detail)) = failure;
        CommandError::Failed(format!("no reply; is it an entry's operator address? {detail}"))
    }
}

impl AdminReply {
    /// Parses the body of a successful reply; other replies become errors.
    pub(super) fn parse_success<T: DeserializeOwned>(self) -> Result<T, CommandError> {
        if !self.status.is_success() {
            return Err(self.refusal());
        }
        self.parse()
    }

    /// Parses the body, whatever the status is.
    pub(super) fn parse<T: DeserializeOwned>(&self) -> Result<T, CommandError> {
        serde_json::from_slice(&self.body).map_err(|error| {
            CommandError::Failed(format!("the reply cannot be parsed ({}): {error}", self.status))
        })
    }

    /// Converts an error reply to a command error.
    pub(super) fn refusal(self) -> CommandError {
        let Ok(refusal) = serde_json::from_slice::<RefusalBody>(&self.body) else {
            return CommandError::Failed(format!("the entry answered {}", self.status));
        };
        let mut lines = vec![refusal.message];
        lines.extend(refusal.findings.iter().map(ToString::to_string));
        let text = lines.join("\n");
        match self.status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => CommandError::Refused(text),
            StatusCode::CONFLICT => CommandError::Conflict(text),
            StatusCode::BAD_REQUEST
            | StatusCode::UNPROCESSABLE_ENTITY
            | StatusCode::PAYLOAD_TOO_LARGE => CommandError::Findings(text),
            _ => CommandError::Failed(text),
        }
    }
}
