//! The log service over HTTP.

use std::time::Duration;

use awc::Client;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::{AppendEffect, Error, Log, Page, RawRecord, Result};

/// Time that an answer may take beyond the wait that was asked for. A log that is slower is
/// treated as down, since peers then know more than it tells.
const ANSWER_MS: u64 = 2_000;

/// Largest page, in bytes.
const PAGE_BYTES: usize = 64 << 20;

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

/// Client of one log service.
#[derive(Clone)]
pub struct HttpLog {
    address: String,
    client: Client,
}

impl HttpLog {
    /// A client for the service at an IP address and port.
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
            .timeout(Duration::from_millis(ANSWER_MS))
            .send_json(&request)
            .await;
        let mut response = sent.map_err(|error| self.error(operation, effect(&error), error))?;
        if !response.status().is_success() {
            // The service answers 503 before it writes; anything else says nothing.
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
            .timeout(Duration::from_millis(wait_ms + ANSWER_MS));
        let mut response = request
            .send()
            .await
            .map_err(|error| failed(error.to_string()))?;
        if !response.status().is_success() {
            return Err(failed(response.status().to_string()));
        }
        let answer: ReadAnswer = response
            .json()
            .limit(PAGE_BYTES)
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

/// Only a connection that was never made proves that nothing was written.
fn effect(error: &awc::error::SendRequestError) -> AppendEffect {
    match error {
        awc::error::SendRequestError::Connect(_) | awc::error::SendRequestError::Url(_) => {
            AppendEffect::NotApplied
        }
        _ => AppendEffect::Unknown,
    }
}
