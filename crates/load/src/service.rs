//! Calls that may not be repeated, made under a key and asked again after failures.

use std::time::Duration;

use serde_json::Value;

use crate::completion::RequestResult;
use crate::{Caller, Outcome};

/// Times that a caller asks again before it gives up.
const TRIES: u32 = 6;

/// Time for one try beyond the call's own deadline.
const TRY_MS: u64 = 1_000;

impl Caller {
    /// Makes one call; `body` must be unlike that of any other call.
    pub async fn call_once(
        &self,
        service: &str,
        path: &str,
        body: &str,
        deadline_ms: u64,
    ) -> RequestResult {
        let begun_ms = self.clock.now_ms();
        let mut current = None;
        let mut last = Outcome::Refused;
        for _ in 0..TRIES {
            if current.is_none() {
                current = self.new_key().await;
            }
            let Some(key) = &current else {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            let Some(instance) = self.instance().await else {
                continue;
            };
            let target = format!("{service}{path}");
            let answer = self.try_call(&instance, key, &target, body, deadline_ms);
            match answer.await {
                Some((200, _)) => {
                    let in_time = self.clock.now_ms() - begun_ms <= deadline_ms;
                    last = if in_time {
                        Outcome::InTime
                    } else {
                        Outcome::Late
                    };
                    break;
                }
                Some((_, body)) if body["ran"] == "not_run" => {
                    last = Outcome::Refused;
                    let spent_ms = self.clock.now_ms() - begun_ms;
                    let Some(wait_ms) = body["retry_after_ms"].as_u64() else {
                        break;
                    };
                    if spent_ms + wait_ms >= deadline_ms {
                        break;
                    }
                    // A call that is told not to have run may be made again, under a new key.
                    current = None;
                    if let Some(prefix) = body["key_prefix"].as_str() {
                        self.adopt_prefix(prefix);
                    }
                    actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
                }
                Some((_, body)) => {
                    last = Outcome::Unknown;
                    let wait_ms = body["retry_after_ms"].as_u64().unwrap_or(200);
                    actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
                }
                None => {
                    last = Outcome::Unknown;
                    self.failed(&instance);
                }
            }
        }
        RequestResult {
            outcome: last,
            duration_ms: self.clock.now_ms() - begun_ms,
            first_token_ms: 0,
            resumed: false,
        }
    }

    async fn new_key(&self) -> Option<String> {
        let prefix = self.key_prefix().await?;
        Some(format!("{prefix}{:016x}", self.random()))
    }

    async fn try_call(
        &self,
        instance: &str,
        key: &str,
        target: &str,
        body: &str,
        deadline_ms: u64,
    ) -> Option<(u16, Value)> {
        let url = format!("http://{instance}/v1/services/{target}");
        let request = self
            .client
            .post(url)
            .bearer_auth(&self.tenant.key)
            .insert_header(("idempotency-key", key))
            .insert_header(("x-deadline-ms", deadline_ms))
            .timeout(Duration::from_millis(deadline_ms + TRY_MS));
        let mut response = request.send_body(body.to_owned()).await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.json().await.unwrap_or_default()))
    }
}
