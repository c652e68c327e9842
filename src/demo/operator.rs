//! The operator's side, over the administration API.

use serde_json::Value;

use super::Result;
use super::platform::OPERATOR_KEY;

/// An operator at one instance.
pub struct Operator {
    address: String,
    client: awc::Client,
}

impl Operator {
    /// An operator that talks to the instance at this address.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            client: awc::Client::default(),
        }
    }

    /// Waits until the instance serves.
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

    /// Publishes a bundle, signs it off and rolls it.
    pub async fn roll(&self, bundle: &str) -> Result<()> {
        let version = self.publish_and_sign(bundle).await?;
        self.put_in_force(version).await
    }

    /// Publishes a bundle and signs it off; gives its version.
    pub async fn publish_and_sign(&self, bundle: &str) -> Result<u64> {
        let published = self.post("bundles", bundle.to_owned()).await?;
        let version = published["version"].as_u64().ok_or("no version")?;
        self.post(&format!("bundles/{version}/sign"), String::new())
            .await?;
        Ok(version)
    }

    /// Rolls a bundle that is signed off.
    pub async fn put_in_force(&self, version: u64) -> Result<()> {
        self.post(&format!("bundles/{version}/roll"), String::new())
            .await?;
        Ok(())
    }

    /// Leases that the instance holds.
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

    /// Version in force at the instance.
    pub async fn version(&self) -> Result<u64> {
        let status = self.get("status").await?;
        Ok(status["version"].as_u64().unwrap_or(0))
    }

    /// Whether the instance hears this many instances and sees every engine live.
    pub async fn knows(&self, instances: usize) -> bool {
        let Ok(status) = self.get("status").await else {
            return false;
        };
        let heard = status["instances"].as_array().map_or(0, Vec::len);
        let engines = status["engines"].as_array();
        let live = |engine: &Value| engine["presence"] == "live";
        heard >= instances
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
