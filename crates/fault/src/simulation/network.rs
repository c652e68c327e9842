//! Network: sends and delivers messages.

use feed::Page;
use once::IdempotencyKey;

use super::{Delivery, LOG_TIMEOUT_MS, Message, ONE_WAY_DELAY_MS, READ_INTERVAL_MS, Simulation};
use crate::Invariant;
use crate::fakes::OrderResult;

impl Simulation {
    pub(crate) fn send_later(&mut self, delay_ms: u64, index: usize, message: Message) {
        let incarnation = self.instances[index].incarnation;
        let delivery = Delivery::ToInstance {
            index,
            incarnation,
            message,
        };
        self.deliveries.push((self.now_ms + delay_ms, delivery));
    }

    pub(crate) fn send_from_outside(&mut self, index: usize, message: Message) {
        if self.instances[index].can_receive(self.now_ms) {
            self.send_later(ONE_WAY_DELAY_MS, index, message);
        }
    }

    pub(crate) fn send_between(&mut self, from: usize, to: usize, message: Message) {
        if self.instances[from].can_send(self.now_ms)
            && self.instances[from].is_running(self.now_ms)
        {
            self.send_from_outside(to, message);
        }
    }

    pub(crate) fn send_to_service(&mut self, index: usize, key: IdempotencyKey, body: u64) {
        self.deliveries.push((
            self.now_ms + ONE_WAY_DELAY_MS,
            Delivery::ToService { index, key, body },
        ));
    }

    pub(super) fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery| delivery.0 <= now_ms);
        self.deliveries = later;
        for (at_ms, delivery) in due {
            match delivery {
                Delivery::ToInstance {
                    index,
                    incarnation,
                    message,
                } => {
                    self.receive(at_ms, index, incarnation, message);
                }
                Delivery::ToLog {
                    index,
                    incarnation,
                    records,
                    answered,
                } => {
                    self.append_to_log(index, incarnation, records, answered);
                }
                Delivery::ToEngine {
                    engine,
                    order,
                    kind,
                    argument,
                } => {
                    self.orders_received += 1;
                    let result = self.engines[engine].receive(now_ms, order, kind, &argument);
                    if let OrderResult::Conflict(detail) = result {
                        self.violate(Invariant::NoConflictingOrders, detail);
                    }
                }
                Delivery::ToService { index, key, body } => {
                    self.handle_service_call(index, key, body);
                }
            }
        }
    }

    pub(super) fn append_to_log(
        &mut self,
        index: usize,
        incarnation: u64,
        records: Vec<Vec<u8>>,
        answered: bool,
    ) {
        if self.log.down {
            return;
        }
        self.log.append(records);
        let same = self.instances[index].incarnation == incarnation;
        if same && answered && self.instances[index].can_receive(self.now_ms) {
            self.send_later(ONE_WAY_DELAY_MS, index, Message::Appended);
        } else if same {
            self.send_later(LOG_TIMEOUT_MS, index, Message::AppendFailed);
        }
    }

    /// Delivers a message to an instance. A paused instance receives it after the pause; a dead or
    /// replaced one never does.
    pub(super) fn receive(&mut self, at_ms: u64, index: usize, incarnation: u64, message: Message) {
        let instance = &self.instances[index];
        if !instance.alive
            || instance.incarnation != incarnation
            || !instance.can_receive(self.now_ms)
        {
            return;
        }
        if !instance.is_running(self.now_ms) {
            let delivery = Delivery::ToInstance {
                index,
                incarnation,
                message,
            };
            self.deliveries
                .push((at_ms.max(instance.paused_until_ms), delivery));
            return;
        }
        match message {
            Message::Appended => self.handle_append_result(index, true),
            Message::AppendFailed => self.handle_append_result(index, false),
            Message::Page(page) => self.handle_page(index, &page),
            Message::ReadFailed => {
                self.instances[index].reading = false;
                self.catch_up_from_peer(index);
            }
            Message::Call { number } => self.handle_call(index, number),
            Message::Claim { home, key, body } => self.handle_claim(index, home, &key, body),
            Message::Verdict { key, verdict } => self.handle_verdict(index, &key, Some(verdict)),
            Message::ServiceAnswer { key, body } => self.handle_service_answer(index, &key, body),
            Message::ReplicateAnswer { key, body } => {
                self.handle_replicated_answer(index, &key, body);
            }
        }
    }

    pub(super) fn handle_append_result(&mut self, index: usize, is_appended: bool) {
        let instance = &mut self.instances[index];
        if instance.append_until_ms.take().is_none() {
            return;
        }
        if is_appended {
            instance.outbox.confirm_batch();
        } else {
            instance.outbox.requeue_batch();
        }
    }

    pub(super) fn handle_page(&mut self, index: usize, page: &Page) {
        self.instances[index].reading = false;
        self.instances[index].next_read_ms = self.now_ms + READ_INTERVAL_MS;
        let applied = self.instances[index].log_reader.apply_page(page);
        self.after_apply(index, &applied);
        let instance = &mut self.instances[index];
        if instance.log_reader.needs_snapshot() {
            self.catch_up_from_peer(index);
        } else if page.records.is_empty() {
            instance.ready = true;
        }
    }
}
