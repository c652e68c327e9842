//! At-most-once calls to plain services, retried under an idempotency key.

use std::time::Duration;

use serde_json::Value;

use crate::completion::RequestResult;
use crate::{Caller, Outcome};

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 6;

/// Time that the HTTP timeout of an attempt allows beyond the call's deadline, in ms.
const TIMEOUT_SLACK_MS: u64 = 1_000;

impl Caller {
    /// Makes one call. The body must be unique, so that the service's effects can be counted by
    /// body.
    pub async fn call_once(
        &self,
        service: &str,
        path: &str,
        body: &str,
        deadline_ms: u64,
    ) -> RequestResult {
        let started_ms = self.clock.now_ms();
        let mut current_key = None;
        let mut outcome = Outcome::Refused;
        for _ in 0..MAX_ATTEMPTS {
            if current_key.is_none() {
                current_key = self.new_key().await;
            }
            let Some(key) = &current_key else {
                actix_rt::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            let Some(instance) = self.instance().await else {
                continue;
            };
            let target = format!("{service}{path}");
            let answer = self.attempt_call(&instance, key, &target, body, deadline_ms);
            match answer.await {
                Some((200, _)) => {
                    let in_time = self.clock.now_ms() - started_ms <= deadline_ms;
                    outcome = if in_time {
                        Outcome::InTime
                    } else {
                        Outcome::Late
                    };
                    break;
                }
                Some((_, body)) if body["ran"] == "not_run" => {
                    outcome = Outcome::Refused;
                    let elapsed_ms = self.clock.now_ms() - started_ms;
                    let Some(wait_ms) = body["retry_after_ms"].as_u64() else {
                        break;
                    };
                    if elapsed_ms + wait_ms >= deadline_ms {
                        break;
                    }
                    // The call has not run, so it may be retried under a new key.
                    current_key = None;
                    if let Some(prefix) = body["key_prefix"].as_str() {
                        self.adopt_prefix(prefix);
                    }
                    actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
                }
                Some((_, body)) => {
                    outcome = Outcome::Unknown;
                    let wait_ms = body["retry_after_ms"].as_u64().unwrap_or(200);
                    actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
                }
                None => {
                    outcome = Outcome::Unknown;
                    self.mark_failed(&instance);
                }
            }
        }
        RequestResult {
            outcome,
            duration_ms: self.clock.now_ms() - started_ms,
            first_token_ms: 0,
            resumed: false,
        }
    }

    async fn new_key(&self) -> Option<String> {
        let prefix = self.key_prefix().await?;
        Some(format!("{prefix}{:016x}", self.random()))
    }

    async fn attempt_call(
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
            .timeout(Duration::from_millis(deadline_ms + TIMEOUT_SLACK_MS));
        let mut response = request.send_body(body.to_owned()).await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.json().await.unwrap_or_default()))
    }
}
