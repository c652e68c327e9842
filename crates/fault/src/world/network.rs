//! Messages on their way.

use feed::Page;
use once::IdempotencyKey;

use super::{Flight, LOG_MS, Message, READ_MS, WAY_MS, World};
use crate::Invariant;
use crate::fakes::Arrived;

impl World {
    pub(crate) fn send_later(&mut self, delay_ms: u64, place: usize, message: Message) {
        let incarnation = self.instances[place].incarnation;
        let flight = Flight::ToInstance {
            place,
            incarnation,
            message,
        };
        self.flights.push((self.now_ms + delay_ms, flight));
    }

    pub(crate) fn send_from_outside(&mut self, place: usize, message: Message) {
        if self.instances[place].hears(self.now_ms) {
            self.send_later(WAY_MS, place, message);
        }
    }

    pub(crate) fn send_between(&mut self, from: usize, to: usize, message: Message) {
        if self.instances[from].speaks(self.now_ms) && self.instances[from].acts(self.now_ms) {
            self.send_from_outside(to, message);
        }
    }

    pub(crate) fn send_to_service(&mut self, place: usize, key: IdempotencyKey, body: u64) {
        self.flights
            .push((self.now_ms + WAY_MS, Flight::ToService { place, key, body }));
    }

    pub(super) fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.0 <= now_ms);
        self.flights = later;
        for (at_ms, flight) in due {
            match flight {
                Flight::ToInstance {
                    place,
                    incarnation,
                    message,
                } => {
                    self.arrive(at_ms, place, incarnation, message);
                }
                Flight::ToLog {
                    place,
                    incarnation,
                    records,
                    answered,
                } => {
                    self.appended(place, incarnation, records, answered);
                }
                Flight::ToEngine {
                    engine,
                    order,
                    kind,
                    argument,
                } => {
                    self.orders += 1;
                    let arrived = self.engines[engine].take(now_ms, order, kind, &argument);
                    if let Arrived::Conflict(detail) = arrived {
                        self.violate(Invariant::NoConflictingOrders, detail);
                    }
                }
                Flight::ToService { place, key, body } => self.served(place, key, body),
            }
        }
    }

    pub(super) fn appended(
        &mut self,
        place: usize,
        incarnation: u64,
        records: Vec<Vec<u8>>,
        answered: bool,
    ) {
        if self.log.down {
            return;
        }
        self.log.append(records);
        let same = self.instances[place].incarnation == incarnation;
        if same && answered && self.instances[place].hears(self.now_ms) {
            self.send_later(WAY_MS, place, Message::Appended);
        } else if same {
            self.send_later(LOG_MS, place, Message::AppendFailed);
        }
    }

    /// Hands a message over; it waits in a paused instance's buffers and is lost at a dead one.
    pub(super) fn arrive(&mut self, at_ms: u64, place: usize, incarnation: u64, message: Message) {
        let instance = &self.instances[place];
        if !instance.alive || instance.incarnation != incarnation || !instance.hears(self.now_ms) {
            return;
        }
        if !instance.acts(self.now_ms) {
            let flight = Flight::ToInstance {
                place,
                incarnation,
                message,
            };
            self.flights
                .push((at_ms.max(instance.paused_until_ms), flight));
            return;
        }
        match message {
            Message::Appended => self.append_answered(place, true),
            Message::AppendFailed => self.append_answered(place, false),
            Message::Page(page) => self.took(place, &page),
            Message::ReadFailed => {
                self.instances[place].reading = false;
                self.learn_from_peer(place);
            }
            Message::Ask { number } => self.asked(place, number),
            Message::Claim { home, key, body } => self.claimed(place, home, &key, body),
            Message::Verdict { key, verdict } => self.granted(place, &key, Some(verdict)),
            Message::Served { key, body } => self.finished(place, &key, body),
            Message::Keep { key, body } => self.kept(place, &key, body),
        }
    }

    pub(super) fn append_answered(&mut self, place: usize, done: bool) {
        let instance = &mut self.instances[place];
        if instance.append_until_ms.take().is_none() {
            return;
        }
        if done {
            instance.outbox.confirm_batch();
        } else {
            instance.outbox.requeue_batch();
        }
    }

    pub(super) fn took(&mut self, place: usize, page: &Page) {
        self.instances[place].reading = false;
        self.instances[place].read_at_ms = self.now_ms + READ_MS;
        let steps = self.instances[place].cursor.apply_page(page);
        self.folded(place, &steps);
        let instance = &mut self.instances[place];
        if instance.cursor.needs_snapshot() {
            self.learn_from_peer(place);
        } else if page.records.is_empty() {
            instance.ready = true;
        }
    }
}
