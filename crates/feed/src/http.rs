//! HTTP client of the log service.

use std::time::Duration;

use awc::Client;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::{AppendEffect, Error, Log, Page, RawRecord, Result};

/// Timeout of an answer, in addition to the requested wait. A slower log is treated as down, since
/// peers are then likely to be more up to date.
const TIMEOUT_MS: u64 = 2_000;

/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 64 << 20;

#[derive(Serialize)]
struct AppendRequest {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    first: u64,
}

#[derive(Deserialize)]
struct ReadAnswer {
    first: u64,
    next: u64,
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    data: String,
}

/// Client of a log service.
#[derive(Clone)]
pub struct HttpLog {
    address: String,
    client: Client,
}

impl HttpLog {
    /// Creates a client for the service at an IP address and port.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            client: Client::builder().disable_redirects().finish(),
        }
    }

    fn error(
        &self,
        operation: &'static str,
        effect: AppendEffect,
        detail: impl std::fmt::Display,
    ) -> Error {
        Error {
            operation,
            peer: self.address.clone(),
            detail: detail.to_string(),
            effect,
        }
    }
}

impl Log for HttpLog {
    async fn append(&self, records: &[Vec<u8>]) -> Result<u64> {
        let operation = "append";
        let request = AppendRequest {
            records: records
                .iter()
                .map(|record| STANDARD.encode(record))
                .collect(),
        };
        let sent = self
            .client
            .post(format!("http://{}/append", self.address))
            .timeout(Duration::from_millis(TIMEOUT_MS))
            .send_json(&request)
            .await;
        let mut response =
            sent.map_err(|error| self.error(operation, append_effect(&error), error))?;
        if !response.status().is_success() {
            // The service answers 503 only before it writes; any other status is inconclusive.
            let effect = match response.status().as_u16() {
                503 => AppendEffect::NotApplied,
                _ => AppendEffect::Unknown,
            };
            return Err(self.error(operation, effect, response.status()));
        }
        let answer: AppendAnswer = response
            .json()
            .await
            .map_err(|error| self.error(operation, AppendEffect::Unknown, error))?;
        Ok(answer.first)
    }

    async fn read(&self, from: u64, wait_ms: u64) -> Result<Page> {
        let operation = "read";
        let failed = |detail: String| self.error(operation, AppendEffect::NotApplied, detail);
        let url = format!(
            "http://{}/records?from={from}&wait_ms={wait_ms}",
            self.address
        );
        let request = self
            .client
            .get(url)
            .timeout(Duration::from_millis(wait_ms + TIMEOUT_MS));
        let mut response = request
            .send()
            .await
            .map_err(|error| failed(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(response.status().to_string()));
        }
        let answer: ReadAnswer = response
            .json()
            .limit(MAX_PAGE_BYTES)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let entries = answer.records.into_iter().map(|record| {
            let data = STANDARD
                .decode(&record.data)
                .map_err(|error| failed(error.to_string()))?;
            Ok(RawRecord {
                offset: record.offset,
                data,
            })
        });
        Ok(Page {
            oldest_offset: answer.first,
            next_offset: answer.next,
            records: entries.collect::<Result<_>>()?,
        })
    }
}

/// Only a failure to connect proves that nothing was written.
fn append_effect(error: &awc::error::SendRequestError) -> AppendEffect {
    match error {
        awc::error::SendRequestError::Connect(_) | awc::error::SendRequestError::Url(_) => {
            AppendEffect::NotApplied
        }
        _ => AppendEffect::Unknown,
    }
}
