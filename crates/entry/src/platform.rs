//! The platform's list of live and leaving instances.

use std::rc::Rc;
use std::time::Duration;

use peer::PeerInfo;
use serde::Deserialize;

use crate::app::App;

/// Time between two reads of the list.
const READ_MS: u64 = 500;

/// Time that an answer may take.
const ANSWER_MS: u64 = 1_500;

/// Largest list, in bytes: 2,300 instances at about 250 bytes, with room.
const LIST_BYTES: usize = 8 << 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Standing {
    #[default]
    Live,
    Leaving,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    Entry,
    Engine,
    Service,
}

/// One entry of the list, as the platform writes it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Listed {
    pub(crate) name: String,
    pub(crate) kind: Kind,
    pub(crate) address: String,
    #[serde(default)]
    pub(crate) peer_address: String,
    pub(crate) zone: String,
    #[serde(default)]
    pub(crate) serves: String,
    #[serde(default)]
    pub(crate) standing: Standing,
}

/// Reads the list again and again.
pub(crate) async fn watch_list(app: Rc<App>) {
    let mut ticks = app.timers.every(READ_MS);
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

async fn read(app: &App) -> Result<Vec<Listed>, String> {
    let url = format!("http://{}/instances", app.settings.platform.instances);
    let request = app
        .client
        .get(url)
        .timeout(Duration::from_millis(ANSWER_MS));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    let list = response.json::<Vec<Listed>>().limit(LIST_BYTES).await;
    list.map_err(|error| error.to_string())
}

fn apply(app: &App, list: Vec<Listed>) {
    let others = list
        .iter()
        .filter(|listed| listed.kind == Kind::Entry && listed.name != app.identity.instance)
        .map(|listed| PeerInfo {
            instance: listed.name.clone(),
            peer_address: listed.peer_address.clone(),
            zone: listed.zone.clone(),
            last_heartbeat: None,
            leaving: listed.standing == Standing::Leaving,
        });
    app.members.borrow_mut().apply_list(app.now_ms(), others);
    let upstreams = list.into_iter().filter(|listed| listed.kind != Kind::Entry);
    crate::upstreams::listed(app, upstreams);
}
