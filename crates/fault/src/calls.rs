//! At-most-once calls, and callers that retry them at other instances.

use once::{Admission, IdempotencyKey};
use wire::{Answer, CallState, CallStatus, ClaimVerdict};

use crate::instance::{PendingCall, Stage};
use crate::simulation::{Message, Simulation};
use crate::{DisabledSafeguard, Invariant, Step};

/// Time that a home waits for its witness, in ms.
const CLAIM_TIMEOUT_MS: u64 = 300;

/// Time that a home waits for the service, in ms.
const SERVICE_TIMEOUT_MS: u64 = 1_200;

/// Time after which a caller retries at the next instance, in ms.
const CALLER_TIMEOUT_MS: u64 = 1_500;

/// One in this many calls is retried before the first attempt has timed out.
const IMPATIENT_EVERY: usize = 7;

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 4;

/// A call as its caller knows it.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) key: IdempotencyKey,
    pub(crate) body: u64,
    pub(crate) attempts: u32,
    pub(crate) next_attempt_ms: u64,
    pub(crate) ended: bool,
    pub(crate) refused_as_not_run: bool,
}

fn digest(body: u64) -> once::BodyDigest {
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&body.to_le_bytes());
    digest
}

fn answer(body: u64) -> Answer {
    Answer {
        status: 200,
        content_type: String::new(),
        body: body.to_le_bytes().to_vec(),
    }
}

impl Simulation {
    /// Starts a call whose key names two instances in service as home and witness.
    pub(crate) fn start_call(&mut self) {
        let in_service: Vec<usize> = (0..self.instances.len())
            .filter(|&index| self.instances[index].ready && self.instances[index].alive)
            .filter(|&index| !self.instances[index].stopping)
            .collect();
        if in_service.len() < 2 {
            return;
        }
        let body = self.calls.len() as u64 + 1;
        let home = in_service[body as usize % in_service.len()];
        let witness = in_service[(body as usize + 1) % in_service.len()];
        let key = IdempotencyKey {
            home: self.instances[home].instance_epoch(self.now_ms),
            witness: self.instances[witness].instance_epoch(self.now_ms),
            suffix: body.to_string(),
        };
        self.calls.push(Call {
            key,
            body,
            attempts: 0,
            next_attempt_ms: self.now_ms,
            ended: false,
            refused_as_not_run: false,
        });
    }

    /// Sends the first attempt of new calls, and retries calls that have timed out.
    pub(crate) fn send_due_calls(&mut self) {
        for number in 0..self.calls.len() {
            let call = self.calls[number].clone();
            if call.ended || call.attempts == MAX_ATTEMPTS || call.next_attempt_ms > self.now_ms {
                continue;
            }
            let home = self.index_of(&call.key.home.instance);
            let target = (home + call.attempts as usize) % self.instances.len();
            if call.attempts > 0 {
                self.reach_step(Step::RetryCall, target);
            }
            let entry = &mut self.calls[number];
            entry.attempts += 1;
            // Some calls are retried almost at once, so that two attempts overlap.
            let impatient = entry.attempts == 1 && number.is_multiple_of(IMPATIENT_EVERY);
            entry.next_attempt_ms = self.now_ms + if impatient { 10 } else { CALLER_TIMEOUT_MS };
            self.send_from_outside(target, Message::Call { number });
        }
    }

    /// Handles a call at an instance: the home admits it, others forward it or fence it.
    pub(crate) fn handle_call(&mut self, index: usize, number: usize) {
        let call = self.calls[number].clone();
        if !self.instances[index].ready {
            return;
        }
        let instance = &self.instances[index];
        if instance.home.is_home(&call.key) {
            self.admit(index, number);
            return;
        }
        let home = self.index_of(&call.key.home.instance);
        let same = self.instances[home].incarnation == call.key.home.incarnation;
        // Forwarding takes no time here; only which instance decides matters.
        if same && self.can_exchange(index, home) && self.instances[home].is_running(self.now_ms) {
            self.admit(home, number);
        } else {
            self.fence_at_witness(index, number);
        }
    }

    fn admit(&mut self, index: usize, number: usize) {
        self.reach_step(Step::AdmitCall, index);
        if !self.instances[index].is_running(self.now_ms) {
            return;
        }
        let call = self.calls[number].clone();
        let now_ms = self.instances[index].clock_ms(self.now_ms);
        if self.disabled == DisabledSafeguard::ForgetKeys {
            let identity = self.instances[index].instance_epoch(self.now_ms);
            let epochs = once::EpochCounter::new(0);
            self.instances[index].home =
                once::Home::new(&identity.instance, identity.incarnation, epochs);
        }
        let admission = self.instances[index]
            .home
            .admit(now_ms, &call.key, digest(call.body));
        match admission {
            Admission::Known(status) => self.reply(index, number, &status),
            Admission::Attach => {}
            Admission::AskWitness => self.ask_witness(index, &call),
        }
    }

    fn ask_witness(&mut self, index: usize, call: &Call) {
        self.reach_step(Step::AskWitness, index);
        let pending = PendingCall {
            key: call.key.clone(),
            body: call.body,
            until_ms: self.now_ms + CLAIM_TIMEOUT_MS,
            stage: Stage::Witness,
        };
        self.instances[index]
            .pending
            .insert(call.key.to_string(), pending);
        if self.disabled == DisabledSafeguard::Witness {
            self.handle_verdict(index, &call.key, Some(ClaimVerdict::Granted));
            return;
        }
        let witness = self.index_of(&call.key.witness.instance);
        let message = Message::Claim {
            home: index,
            key: call.key.clone(),
            body: call.body,
        };
        self.send_between(index, witness, message);
    }

    /// Handles a claim at the witness and sends the verdict to the home.
    pub(crate) fn handle_claim(
        &mut self,
        index: usize,
        home: usize,
        key: &IdempotencyKey,
        body: u64,
    ) {
        let now_ms = self.instances[index].clock_ms(self.now_ms);
        let verdict = self.instances[index]
            .witness
            .claim(now_ms, key, digest(body));
        self.reach_step(Step::AnswerHome, index);
        let key = key.clone();
        self.send_between(index, home, Message::Verdict { key, verdict });
    }

    /// Handles the verdict of the witness at the home; `None` means that it timed out.
    pub(crate) fn handle_verdict(
        &mut self,
        index: usize,
        key: &IdempotencyKey,
        verdict: Option<ClaimVerdict>,
    ) {
        let key_text = key.to_string();
        let Some(pending) = self.instances[index].pending.get(&key_text).cloned() else {
            return;
        };
        if pending.stage != Stage::Witness {
            return;
        }
        self.instances[index].pending.remove(&key_text);
        if !self.instances[index].home.record_verdict(key, verdict) {
            self.reply_all(index, key);
            return;
        }
        self.reach_step(Step::DispatchCall, index);
        let pending = PendingCall {
            until_ms: self.now_ms + SERVICE_TIMEOUT_MS,
            stage: Stage::Service,
            ..pending
        };
        let body = pending.body;
        self.instances[index].pending.insert(key_text, pending);
        if self.instances[index].can_send(self.now_ms)
            && self.instances[index].is_running(self.now_ms)
        {
            self.send_to_service(index, key.clone(), body);
        }
    }

    /// Runs a call at the service and checks that it has not run before.
    pub(crate) fn handle_service_call(&mut self, index: usize, key: IdempotencyKey, body: u64) {
        let effects = self.service.effects.entry(body).or_default();
        *effects += 1;
        if *effects > 1 {
            self.violate(
                Invariant::AtMostOnce,
                format!("call {body} ran {} times", self.service.effects[&body]),
            );
        }
        if !self.service.loses_answers {
            let delay_ms = 20 + self.service.slow_ms;
            self.send_later(delay_ms, index, Message::ServiceAnswer { key, body });
        }
    }

    /// Handles the service's answer at the home and replicates it to the witness.
    pub(crate) fn handle_service_answer(&mut self, index: usize, key: &IdempotencyKey, body: u64) {
        self.reach_step(Step::FinishCall, index);
        if !self.instances[index].is_running(self.now_ms) {
            return;
        }
        self.instances[index].pending.remove(&key.to_string());
        self.instances[index].home.record_answer(key, answer(body));
        let witness = self.index_of(&key.witness.instance);
        let message = Message::ReplicateAnswer {
            key: key.clone(),
            body,
        };
        self.send_between(index, witness, message);
        self.reply_all(index, key);
    }

    /// Stores a replicated answer at the witness.
    pub(crate) fn handle_replicated_answer(
        &mut self,
        index: usize,
        key: &IdempotencyKey,
        body: u64,
    ) {
        self.instances[index].witness.finish(key, answer(body));
    }

    fn fence_at_witness(&mut self, index: usize, number: usize) {
        let call = self.calls[number].clone();
        let witness = self.index_of(&call.key.witness.instance);
        if index != witness && !self.can_exchange(index, witness) {
            return;
        }
        if !self.instances[witness].is_running(self.now_ms) {
            return;
        }
        let now_ms = self.instances[witness].clock_ms(self.now_ms);
        let status = self.instances[witness]
            .witness
            .fence(now_ms, &call.key, digest(call.body));
        self.reply(index, number, &status);
    }

    /// Ends the waits for a witness or the service that have timed out.
    pub(crate) fn expire_calls(&mut self, index: usize) {
        let due: Vec<PendingCall> = self.instances[index]
            .pending
            .values()
            .filter(|pending| pending.until_ms <= self.now_ms)
            .cloned()
            .collect();
        for pending in due {
            match pending.stage {
                Stage::Witness => self.handle_verdict(index, &pending.key, None),
                Stage::Service => {
                    self.instances[index]
                        .pending
                        .remove(&pending.key.to_string());
                    self.instances[index].home.record_unknown(&pending.key);
                }
            }
        }
    }

    fn reply_all(&mut self, index: usize, key: &IdempotencyKey) {
        let status = self.instances[index].home.status(key);
        for number in 0..self.calls.len() {
            if self.calls[number].key == *key {
                self.reply(index, number, &status);
            }
        }
    }

    fn reply(&mut self, index: usize, number: usize, status: &CallStatus) {
        if !self.instances[index].can_send(self.now_ms) {
            return;
        }
        let call = &mut self.calls[number];
        match status.state {
            CallState::Done => {
                call.ended = true;
                let body = status.answer.as_ref().map(|answer| answer.body.clone());
                if body != Some(call.body.to_le_bytes().to_vec()) {
                    let detail = format!("call {} got another's answer", call.body);
                    self.violate(Invariant::OwnAnswer, detail);
                }
            }
            CallState::Unseen => call.refused_as_not_run = true,
            _ => {}
        }
    }

    /// Checks that no call that was refused as not run has run.
    pub(crate) fn check_calls(&mut self) {
        let wrongly_refused: Vec<u64> = self
            .calls
            .iter()
            .filter(|call| call.refused_as_not_run && self.service.effects.contains_key(&call.body))
            .map(|call| call.body)
            .collect();
        for body in wrongly_refused {
            self.violate(
                Invariant::TrueRefusal,
                format!("call {body} was told not to have run"),
            );
        }
    }
}
