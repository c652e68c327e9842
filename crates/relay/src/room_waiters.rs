//! Requests that wait for room at upstreams, by service: the queue of each, and how its decisions reach the requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use queue::{PlaceQuota, QueueRefusal, WaitQueue, Waiter, WaiterId};
use tokio::sync::oneshot;

use crate::upstream::FreedPlaces;

/// What is decided on a request that waits.
pub enum Verdict {
    /// It gets a place.
    Placed(Reservation),
    /// What it waits for has changed, so it is looked at as if it had just come.
    Again,
    /// It is refused.
    Refused(QueueRefusal),
    /// This instance stops and there is no room; its caller may return elsewhere after this time.
    Stopped {
        /// Time after which the caller is to return, in ms.
        retry_after_ms: u64,
    },
}

/// A place that a request was given and that is not in the load of its upstream yet.
pub struct Reservation {
    reserved: Rc<Cell<u32>>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get().saturating_sub(1));
    }
}

/// Requests that wait for room at the upstreams of one service.
#[derive(Default)]
pub struct ServiceWaiters {
    /// Name of the service.
    pub service: String,
    /// The queue.
    pub queue: RefCell<WaitQueue>,
    /// Places that this instance may take.
    pub quota: Cell<PlaceQuota>,
    /// Places that its requests have freed.
    pub freed: Rc<FreedPlaces>,
    /// Version of the configuration under which the requests began to wait.
    pub config_version: Cell<u64>,
    is_served: Cell<bool>,
    reserved: Rc<Cell<u32>>,
    verdicts: RefCell<HashMap<WaiterId, oneshot::Sender<Verdict>>>,
}

impl ServiceWaiters {
    /// Places that were given and are not in the load of upstreams yet.
    pub fn reserved(&self) -> u32 {
        self.reserved.get()
    }

    /// Reserves a place.
    pub fn reserve(&self) -> Reservation {
        self.reserved.set(self.reserved.get() + 1);
        Reservation {
            reserved: Rc::clone(&self.reserved),
        }
    }

    /// Takes a request into the queue, or refuses it.
    pub fn enqueue(
        self: &Rc<Self>,
        now_ms: u64,
        waiter: Waiter,
        assumed_per_ms: f64,
    ) -> Result<WaitingRequest, QueueRefusal> {
        let queued = self
            .queue
            .borrow_mut()
            .enqueue(now_ms, waiter, assumed_per_ms);
        let id = queued?;
        let (sender, verdict) = oneshot::channel();
        self.verdicts.borrow_mut().insert(id, sender);
        Ok(WaitingRequest {
            waiters: Rc::clone(self),
            id,
            verdict,
        })
    }

    /// Tells a request what was decided on it; one whose caller left does not hear it.
    pub fn tell(&self, id: WaiterId, verdict: Verdict) {
        let sender = self.verdicts.borrow_mut().remove(&id);
        if let Some(sender) = sender {
            // A reservation that nobody receives is dropped, which gives the place back.
            drop(sender.send(verdict));
        }
    }

    /// Removes all requests from the queue, in their order, and tells them what this returns.
    pub fn tell_all(&self, now_ms: u64, verdict: impl Fn(&mut WaitQueue) -> Verdict) {
        let all = self.queue.borrow_mut().remove_all(now_ms);
        for id in all {
            let verdict = verdict(&mut self.queue.borrow_mut());
            self.tell(id, verdict);
        }
    }

    /// Marks a task as the one that gives places to the requests; none if there is one.
    pub fn begin_serving(self: &Rc<Self>) -> Option<Serving> {
        let is_first = !self.is_served.replace(true);
        is_first.then(|| Serving(Rc::clone(self)))
    }
}

/// Mark of the task that gives places to the requests of a service, until it is dropped.
pub struct Serving(Rc<ServiceWaiters>);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.is_served.set(false);
    }
}

/// A request in the queue; dropped with its caller's connection, it leaves the queue.
pub struct WaitingRequest {
    waiters: Rc<ServiceWaiters>,
    id: WaiterId,
    verdict: oneshot::Receiver<Verdict>,
}

impl WaitingRequest {
    /// Waits until it is decided on.
    pub async fn decided(mut self) -> Verdict {
        (&mut self.verdict).await.unwrap_or(Verdict::Again)
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.waiters.queue.borrow_mut().remove(self.id);
        self.waiters.verdicts.borrow_mut().remove(&self.id);
    }
}

/// Requests that wait for room, by service.
#[derive(Default)]
pub struct RoomWaiters {
    services: RefCell<HashMap<String, Rc<ServiceWaiters>>>,
}

impl RoomWaiters {
    /// Those of a service.
    pub fn of(&self, service: &str) -> Rc<ServiceWaiters> {
        let mut services = self.services.borrow_mut();
        if let Some(known) = services.get(service) {
            return Rc::clone(known);
        }
        let waiters = Rc::new(ServiceWaiters {
            service: service.to_owned(),
            ..ServiceWaiters::default()
        });
        services.insert(service.to_owned(), Rc::clone(&waiters));
        waiters
    }

    /// Wakes the queues in which requests wait.
    pub fn wake(&self) {
        for waiters in self.services.borrow().values() {
            if !waiters.queue.borrow().is_empty() {
                waiters.freed.wake();
            }
        }
    }

    /// Number of requests that wait, by service.
    pub fn counts(&self) -> Vec<(String, usize)> {
        let services = self.services.borrow();
        let count = |it: &Rc<ServiceWaiters>| (it.service.clone(), it.queue.borrow().len());
        services.values().map(count).collect()
    }
}
