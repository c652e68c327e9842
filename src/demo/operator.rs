//! An operator that uses the administration API.

use serde_json::Value;

use super::Result;
use super::platform::OPERATOR_KEY;

/// Sends operator requests to one instance.
pub struct Operator {
    address: String,
    client: awc::Client,
}

impl Operator {
    /// Creates an operator for the instance at this address.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            client: awc::Client::default(),
        }
    }

    /// Waits until the instance is ready.
    pub async fn wait_ready(&self) {
        let url = format!("http://{}/readyz", self.address);
        loop {
            let sent = self.client.get(&url).send().await;
            if sent.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }

    /// Publishes a bundle, approves it and puts it in force.
    pub async fn roll(&self, bundle: &str) -> Result<()> {
        let version = self.publish_and_sign(bundle).await?;
        self.put_in_force(version).await
    }

    /// Publishes a bundle, approves it and returns its version.
    pub async fn publish_and_sign(&self, bundle: &str) -> Result<u64> {
        let published = self.post("bundles", bundle.to_owned()).await?;
        let version = published["version"].as_u64().ok_or("no version")?;
        self.post(&format!("bundles/{version}/sign"), String::new())
            .await?;
        Ok(version)
    }

    /// Puts an approved bundle in force.
    pub async fn put_in_force(&self, version: u64) -> Result<()> {
        self.post(&format!("bundles/{version}/roll"), String::new())
            .await?;
        Ok(())
    }

    /// Number of leases that the instance holds; 0 if it does not answer.
    pub async fn leases(&self) -> u64 {
        let url = format!("http://{}/metrics", self.address);
        let Ok(mut response) = self.client.get(url).send().await else {
            return 0;
        };
        let body = response.body().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body).into_owned();
        let held = text
            .lines()
            .filter(|line| line.contains("leases_held{") && line.ends_with(" 1"));
        held.count() as u64
    }

    /// Drains an engine.
    pub async fn drain(&self, engine: &str) -> Result<()> {
        self.post(&format!("engines/{engine}/drain"), String::new())
            .await?;
        Ok(())
    }

    /// Version of the bundle in force at the instance; 0 if there is none.
    pub async fn version(&self) -> Result<u64> {
        let status = self.get("status").await?;
        Ok(status["version"].as_u64().unwrap_or(0))
    }

    /// Whether the instance receives heartbeats from this many instances, itself included, and sees
    /// at least one engine and every engine live.
    pub async fn sees_fleet(&self, instances: usize) -> bool {
        let Ok(status) = self.get("status").await else {
            return false;
        };
        let known = status["instances"].as_array().map_or(0, Vec::len);
        let engines = status["engines"].as_array();
        let live = |engine: &Value| engine["presence"] == "live";
        known >= instances
            && engines.is_some_and(|engines| !engines.is_empty() && engines.iter().all(live))
    }

    async fn get(&self, path: &str) -> Result<Value> {
        let url = format!("http://{}/admin/v1/{path}", self.address);
        let request = self.client.get(url).bearer_auth(OPERATOR_KEY);
        let mut response = request.send().await.map_err(|error| error.to_string())?;
        Ok(response.json().await?)
    }

    async fn post(&self, path: &str, body: String) -> Result<Value> {
        let url = format!("http://{}/admin/v1/{path}", self.address);
        let request = self.client.post(url).bearer_auth(OPERATOR_KEY);
        let mut response = request
            .send_body(body)
            .await
            .map_err(|error| error.to_string())?;
        let value: Value = response.json().await?;
        if response.status().is_success() {
            return Ok(value);
        }
        Err(format!("{path}: {value}").into())
    }
}
