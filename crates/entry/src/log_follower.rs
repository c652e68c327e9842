//! Reads the log and appends to it, and fetches records from peers while it is down.

use std::rc::Rc;
use std::time::Duration;

use conf::BundleIndex;
use feed::{AppliedRecord, Log};
use rand::seq::IteratorRandom;
use wire::{Condition, Snapshot};

use crate::app::App;

/// Time for which a read waits at the log for new records.
const LONG_POLL_MS: u64 = 1_000;

/// Timeout of a request to a peer.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Delay before a failed append is retried.
const APPEND_RETRY_MS: u64 = 200;

/// Reads the log continuously, and reads from peers while the log is down.
pub(crate) async fn follow(app: Rc<App>) {
    loop {
        let from = app.log_reader.borrow().read_offset();
        // The first read must not wait, so that the instance becomes ready at once; later ones wait
        // for new records.
        let wait_ms = if app.log_up.get() { LONG_POLL_MS } else { 0 };
        match app.log.read(from, wait_ms).await {
            Ok(page) => {
                app.log_up.set(true);
                app.metrics.log_up.set(1);
                let caught_up = page.records.is_empty();
                let applied = app.log_reader.borrow_mut().apply_page(&page);
                handle_applied(&app, &applied);
                if app.log_reader.borrow().needs_snapshot() {
                    // The log has dropped records and holds no usable snapshot. Without the state
                    // of a peer this instance might never become ready.
                    fetch_from_peer(&app).await;
                } else if caught_up {
                    become_ready(&app, "log");
                }
            }
            Err(error) => {
                if app.log_up.replace(false) {
                    log::warn!(step = error.operation, peer = error.peer.as_str(); "log is down: {error}");
                }
                app.metrics.log_up.set(0);
                fetch_from_peer(&app).await;
                app.timers.sleep(app.settings.platform.poll_ms).await;
            }
        }
    }
}

/// Fetches the records that a random peer has read. A peer that is less up to date changes nothing.
async fn fetch_from_peer(app: &Rc<App>) {
    let peer = {
        let peer_table = app.peer_table.borrow();
        let reachable = peer_table
            .all()
            .filter(|peer| !peer.peer_address.is_empty());
        let mut rng = app.rng.borrow_mut();
        reachable
            .map(|peer| peer.peer_address.clone())
            .choose(&mut *rng)
    };
    let Some(peer) = peer else {
        return;
    };
    let from = app.log_reader.borrow().state().next_offset();
    let records = match app.peer_client.records(&peer, from, PEER_TIMEOUT_MS).await {
        Ok(records) => records,
        Err(error) => {
            log::debug!(step = error.operation, peer = error.peer.as_str(); "{error}");
            return;
        }
    };
    if let Some(bytes) = records.snapshot {
        match Snapshot::decode(&bytes) {
            Ok(snapshot) => {
                app.log_reader.borrow_mut().install_snapshot(snapshot);
            }
            Err(error) => {
                log::warn!(step = "records", peer = peer.as_str(); "{error}");
                return;
            }
        }
        handle_applied(app, &[]);
    } else {
        let applied = app.log_reader.borrow_mut().apply_peer_records(
            from,
            &records.records,
            records.next_offset,
        );
        handle_applied(app, &applied);
    }
    // A peer without a bundle must not make this instance ready without one.
    if app.log_reader.borrow().state().in_force().is_some() {
        become_ready(app, &peer);
    }
}

fn become_ready(app: &App, source: &str) {
    if app.condition.get() == Condition::Starting {
        app.condition.set(Condition::Ready);
        source.clone_into(&mut app.learned_from.borrow_mut());
        let offset = app.log_reader.borrow().state().next_offset();
        log::info!(step = "ready", source, offset; "state is current");
    }
}

/// Reacts to records that were applied.
fn handle_applied(app: &Rc<App>, applied: &[AppliedRecord]) {
    for record in applied {
        let origin = &record.record.origin;
        if origin.writer == app.identity.instance && origin.incarnation == app.identity.incarnation
        {
            let waiter = app.confirmations.borrow_mut().remove(&origin.sequence);
            if let Some(waiter) = waiter {
                let _ = waiter.send((record.offset, record.outcome.clone()));
            }
        }
    }
    app.metrics
        .log_offset
        .set(app.log_reader.borrow().state().next_offset().cast_signed());
    let since = app.log_reader.borrow().state().records_since_snapshot();
    app.metrics.records_since_snapshot.set(since.cast_signed());
    activate_bundle(app);
    crate::upstreams::apply_drains(app);
    let control = app.control.borrow().upgrade();
    if let Some(control) = control {
        control.observe();
    }
}

/// Activates the bundle in force. Requests in progress keep the bundle they were admitted with.
fn activate_bundle(app: &App) {
    let log_reader = app.log_reader.borrow();
    let Some(state) = log_reader.state().in_force() else {
        return;
    };
    let current = app.bundle();
    if current.is_some_and(|bundle| bundle.digest() == state.published.digest) {
        return;
    }
    // The bundle was validated before it was published, but possibly by another software version.
    match conf::parse_bundle(&state.published.text, "bundle") {
        Ok(bundle) => {
            let version = state.published.version;
            let index = BundleIndex::new(bundle, state.published.digest.clone());
            app.bundle.replace(Some(Rc::new(index)));
            app.metrics.bundle_version.set(version.cast_signed());
            let offset = log_reader.state().in_force_offset();
            log::info!(step = "roll", version, offset; "bundle is in force");
        }
        Err(error) => log::error!(step = "roll"; "bundle in force cannot be read: {error}"),
    }
}

/// Appends queued records to the log, one batch at a time.
pub(crate) async fn append(app: Rc<App>) {
    loop {
        let batch = app.outbox.borrow_mut().next_batch(app.now_ms());
        let Some(batch) = batch else {
            app.outbox_ready.notified().await;
            continue;
        };
        match app.log.append(&batch).await {
            Ok(_) => app.outbox.borrow_mut().confirm_batch(),
            Err(error) => {
                log::warn!(step = error.operation, peer = error.peer.as_str(); "{error}");
                app.outbox.borrow_mut().requeue_batch();
                actix_rt::time::sleep(Duration::from_millis(APPEND_RETRY_MS)).await;
            }
        }
    }
}
