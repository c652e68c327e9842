//! Requests to the administration API.

use std::time::Duration;

use serde_json::Value;

use crate::{Error, Result};

/// Time for an answer; the instance itself waits 5 s for the log.
const ANSWER_MS: u64 = 8_000;

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// An instance's administration API.
pub(crate) struct Client {
    address: String,
    key: String,
}

/// An answer with its status.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Client {
    pub(crate) fn new(address: String, key: String) -> Self {
        Self { address, key }
    }

    pub(crate) async fn get(&self, step: &'static str, path: &str) -> Result<Value> {
        let answer = self.send(step, "GET", path, String::new()).await?;
        self.value(step, &answer)
    }

    pub(crate) async fn text(&self, step: &'static str, path: &str) -> Result<String> {
        let answer = self.send(step, "GET", path, String::new()).await?;
        if answer.status >= 400 {
            self.value(step, &answer)?;
        }
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    pub(crate) async fn post(&self, step: &'static str, path: &str, body: String) -> Result<Value> {
        let answer = self.send(step, "POST", path, body).await?;
        self.value(step, &answer)
    }

    fn value(&self, step: &'static str, answer: &Answer) -> Result<Value> {
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        match answer.status {
            200..300 => Ok(value),
            500.. => Err(self.unreachable(step, reason(&value, answer.status))),
            _ => Err(Error::Refused {
                detail: reason(&value, answer.status),
            }),
        }
    }

    async fn send(
        &self,
        step: &'static str,
        method: &str,
        path: &str,
        body: String,
    ) -> Result<Answer> {
        let url = format!("http://{}/admin/v1/{path}", self.address);
        let client = awc::Client::builder().disable_redirects().finish();
        let request = match method {
            "GET" => client.get(url),
            _ => client.post(url),
        };
        let sent = request
            .bearer_auth(&self.key)
            .timeout(Duration::from_millis(ANSWER_MS))
            .send_body(body)
            .await;
        let mut response = sent.map_err(|error| self.unreachable(step, error.to_string()))?;
        let body = response.body().limit(ANSWER_BYTES).await;
        let body = body.map_err(|error| self.unreachable(step, error.to_string()))?;
        Ok(Answer {
            status: response.status().as_u16(),
            body: body.to_vec(),
        })
    }

    fn unreachable(&self, step: &'static str, detail: String) -> Error {
        Error::Unreachable {
            step,
            peer: self.address.clone(),
            detail,
        }
    }
}

/// The reason in whichever of the API's shapes a refusal came.
fn reason(value: &Value, status: u16) -> String {
    if let Some(problems) = value["problems"].as_array() {
        let line = |problem: &Value| {
            let part = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
            format!("\n  {}: {}", part("field"), part("detail"))
        };
        return problems.iter().map(line).collect();
    }
    let texts = [&value["outcome"], &value["error"]["message"]];
    let text = texts.iter().find_map(|text| text.as_str());
    let text = text.map(|text| text.strip_prefix("refused: ").unwrap_or(text));
    text.map_or_else(|| format!("status {status}"), str::to_owned)
}
