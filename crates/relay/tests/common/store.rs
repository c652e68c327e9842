//! Stands in for what the platform's store keeps of versions and streams; it outlives the instances.

use std::cell::RefCell;
use std::rc::Rc;

use relay::Relay;
use relay::stream_origins::{LogStep, StoredVersion};
use view::StreamBatch;

/// A store that several instances share.
#[derive(Default)]
pub struct TestStore {
    versions: RefCell<Vec<StoredVersion>>,
    streams: RefCell<Vec<StreamBatch>>,
}

impl TestStore {
    /// Has an instance read the set of versions, and write those that it uses.
    pub fn open(&self, relay: &Relay) {
        relay.load_versions(&self.versions.borrow(), true);
        for (version, _) in relay.unstored_in_use() {
            self.versions.borrow_mut().push(version);
            relay.version_stored(version);
        }
    }

    /// Appends and reads streams for an instance, as long as it lives.
    pub async fn follow(self: Rc<Self>, relay: Rc<Relay>) {
        loop {
            match relay.next_log_step().await {
                LogStep::Append(batch) => self.streams.borrow_mut().push(batch),
                LogStep::Read(number) => {
                    for batch in &*self.streams.borrow() {
                        relay.load_streams(batch);
                    }
                    relay.streams_read(number, true);
                }
            }
        }
    }
}
