//! Client of the administration API.

use std::time::Duration;

use serde_json::Value;

use crate::{Error, Result};

/// Timeout of a request. It must exceed the 5 s for which the instance waits for the log.
const TIMEOUT_MS: u64 = 8_000;

/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Sends requests to the administration API of one instance.
pub(crate) struct Client {
    address: String,
    key: String,
}

/// A response body with its HTTP status.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Client {
    pub(crate) fn new(address: String, key: String) -> Self {
        Self { address, key }
    }

    pub(crate) async fn get(&self, operation: &'static str, path: &str) -> Result<Value> {
        let response = self.send(operation, "GET", path, String::new()).await?;
        self.parse(operation, &response)
    }

    pub(crate) async fn text(&self, operation: &'static str, path: &str) -> Result<String> {
        let response = self.send(operation, "GET", path, String::new()).await?;
        if response.status >= 400 {
            self.parse(operation, &response)?;
        }
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    pub(crate) async fn post(
        &self,
        operation: &'static str,
        path: &str,
        body: String,
    ) -> Result<Value> {
        let response = self.send(operation, "POST", path, body).await?;
        self.parse(operation, &response)
    }

    /// Parses the body of a success and turns any other status into an error.
    fn parse(&self, operation: &'static str, response: &Response) -> Result<Value> {
        let value: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        match response.status {
            200..300 => Ok(value),
            500.. => Err(self.unreachable(operation, refusal_reason(&value, response.status))),
            _ => Err(Error::Refused {
                detail: refusal_reason(&value, response.status),
            }),
        }
    }

    async fn send(
        &self,
        operation: &'static str,
        method: &str,
        path: &str,
        body: String,
    ) -> Result<Response> {
        let url = format!("http://{}/admin/v1/{path}", self.address);
        let client = awc::Client::builder().disable_redirects().finish();
        let request = match method {
            "GET" => client.get(url),
            _ => client.post(url),
        };
        let sent = request
            .bearer_auth(&self.key)
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .send_body(body)
            .await;
        let mut response = sent.map_err(|error| self.unreachable(operation, error.to_string()))?;
        let body = response.body().limit(MAX_BODY_BYTES).await;
        let body = body.map_err(|error| self.unreachable(operation, error.to_string()))?;
        Ok(Response {
            status: response.status().as_u16(),
            body: body.to_vec(),
        })
    }

    fn unreachable(&self, operation: &'static str, detail: String) -> Error {
        Error::Unreachable {
            operation,
            peer: self.address.clone(),
            detail,
        }
    }
}

/// Extracts the reason of a refusal from any of the forms that the API uses: a list of invalid
/// fields, the outcome of a record or an error message.
fn refusal_reason(value: &Value, status: u16) -> String {
    if let Some(problems) = value["problems"].as_array() {
        let line = |problem: &Value| {
            let text = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
            format!("\n  {}: {}", text("field"), text("detail"))
        };
        return problems.iter().map(line).collect();
    }
    let texts = [&value["outcome"], &value["error"]["message"]];
    let text = texts.iter().find_map(|text| text.as_str());
    let text = text.map(|text| text.strip_prefix("refused: ").unwrap_or(text));
    text.map_or_else(|| format!("status {status}"), str::to_owned)
}
