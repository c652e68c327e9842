//! Polls the platform's list of live and leaving instances.

use std::rc::Rc;
use std::time::Duration;

use peer::PeerInfo;
use serde::Deserialize;

use crate::app::App;

/// Interval between reads of the list.
const POLL_INTERVAL_MS: u64 = 500;

/// Timeout of a read.
const TIMEOUT_MS: u64 = 1_500;

/// Maximum size of the list, in bytes. 2,300 instances at about 250 bytes take 575 kB.
const MAX_LIST_BYTES: usize = 8 << 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ListedState {
    #[default]
    Live,
    Leaving,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ListEntryKind {
    Entry,
    Engine,
    Service,
}

/// An entry of the list, as the platform encodes it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ListEntry {
    pub(crate) name: String,
    pub(crate) kind: ListEntryKind,
    pub(crate) address: String,
    #[serde(default)]
    pub(crate) peer_address: String,
    pub(crate) zone: String,
    #[serde(default)]
    pub(crate) serves: String,
    #[serde(default, rename = "standing")]
    pub(crate) state: ListedState,
}

/// Reads the list at a fixed interval.
pub(crate) async fn poll_list(app: Rc<App>) {
    let mut ticks = app.timers.every(POLL_INTERVAL_MS);
    loop {
        match read(&app).await {
            Ok(list) => apply(&app, list),
            Err(detail) => {
                log::debug!(step = "list", peer = app.settings.platform.instances.as_str(); "{detail}");
            }
        }
        if ticks.next().await.is_none() {
            return;
        }
    }
}

async fn read(app: &App) -> Result<Vec<ListEntry>, String> {
    let url = format!("http://{}/instances", app.settings.platform.instances);
    let request = app
        .client
        .get(url)
        .timeout(Duration::from_millis(TIMEOUT_MS));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    let list = response
        .json::<Vec<ListEntry>>()
        .limit(MAX_LIST_BYTES)
        .await;
    list.map_err(|error| error.to_string())
}

fn apply(app: &App, list: Vec<ListEntry>) {
    let peers = list
        .iter()
        .filter(|entry| entry.kind == ListEntryKind::Entry && entry.name != app.identity.instance)
        .map(|entry| PeerInfo {
            instance: entry.name.clone(),
            peer_address: entry.peer_address.clone(),
            zone: entry.zone.clone(),
            last_heartbeat: None,
            leaving: entry.state == ListedState::Leaving,
        });
    app.peer_table.borrow_mut().apply_list(app.now_ms(), peers);
    let upstreams = list
        .into_iter()
        .filter(|entry| entry.kind != ListEntryKind::Entry);
    crate::upstreams::apply_list(app, upstreams);
}
