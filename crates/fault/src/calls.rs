//! Calls that may not be repeated, from callers who ask again elsewhere.

use once::{Admission, IdempotencyKey};
use wire::{Answer, CallState, CallStatus, ClaimVerdict};

use crate::instance::{Stage, Waiting};
use crate::world::{Message, World};
use crate::{DisabledSafeguard, Invariant, Step};

/// Time for a witness to answer.
const CLAIM_MS: u64 = 300;

/// Time for the service to answer.
const SERVICE_MS: u64 = 1_200;

/// Time after which a caller asks another instance.
const CALLER_MS: u64 = 1_500;

/// One caller in so many does not wait for its first answer.
const IMPATIENT: usize = 7;

/// Times that a caller asks.
const ASKS: u32 = 4;

/// What a caller knows of its call.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) key: IdempotencyKey,
    pub(crate) body: u64,
    pub(crate) asked: u32,
    pub(crate) next_ms: u64,
    pub(crate) over: bool,
    pub(crate) told_not_run: bool,
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

impl World {
    /// A new call, with a key that names two instances that serve now.
    pub(crate) fn make_call(&mut self) {
        let ready: Vec<usize> = (0..self.instances.len())
            .filter(|&place| self.instances[place].ready && self.instances[place].alive)
            .filter(|&place| !self.instances[place].stopping)
            .collect();
        if ready.len() < 2 {
            return;
        }
        let body = self.calls.len() as u64 + 1;
        let home = ready[body as usize % ready.len()];
        let witness = ready[(body as usize + 1) % ready.len()];
        let key = IdempotencyKey {
            home: self.instances[home].place(self.now_ms),
            witness: self.instances[witness].place(self.now_ms),
            suffix: body.to_string(),
        };
        self.calls.push(Call {
            key,
            body,
            asked: 0,
            next_ms: self.now_ms,
            over: false,
            told_not_run: false,
        });
    }

    /// Callers that have waited long enough ask the next instance.
    pub(crate) fn ask(&mut self) {
        for number in 0..self.calls.len() {
            let call = self.calls[number].clone();
            if call.over || call.asked == ASKS || call.next_ms > self.now_ms {
                continue;
            }
            let home = self.by_name(&call.key.home.instance);
            let target = (home + call.asked as usize) % self.instances.len();
            if call.asked > 0 {
                self.reach(Step::RetryCall, target);
            }
            let entry = &mut self.calls[number];
            entry.asked += 1;
            // Some callers are impatient and ask twice at once.
            let impatient = entry.asked == 1 && number.is_multiple_of(IMPATIENT);
            entry.next_ms = self.now_ms + if impatient { 10 } else { CALLER_MS };
            self.send_from_outside(target, Message::Ask { number });
        }
    }

    /// A call arrives at an instance.
    pub(crate) fn asked(&mut self, place: usize, number: usize) {
        let call = self.calls[number].clone();
        if !self.instances[place].ready {
            return;
        }
        let instance = &self.instances[place];
        if instance.home.is_home(&call.key) {
            self.admit(place, number);
            return;
        }
        let home = self.by_name(&call.key.home.instance);
        let same = self.instances[home].incarnation == call.key.home.incarnation;
        // The forward and its failure are one step here: what matters is who decides.
        if same && self.connected(place, home) && self.instances[home].acts(self.now_ms) {
            self.admit(home, number);
        } else {
            self.fence(place, number);
        }
    }

    fn admit(&mut self, place: usize, number: usize) {
        self.reach(Step::AdmitCall, place);
        if !self.instances[place].acts(self.now_ms) {
            return;
        }
        let call = self.calls[number].clone();
        let now_ms = self.instances[place].clock_ms(self.now_ms);
        if self.disabled == DisabledSafeguard::ForgetKeys {
            let identity = self.instances[place].place(self.now_ms);
            let epochs = once::EpochCounter::new(0);
            self.instances[place].home =
                once::Home::new(&identity.instance, identity.incarnation, epochs);
        }
        let admission = self.instances[place]
            .home
            .admit(now_ms, &call.key, digest(call.body));
        match admission {
            Admission::Known(status) => self.reply(place, number, &status),
            Admission::Attach => {}
            Admission::AskWitness => self.ask_witness(place, &call),
        }
    }

    fn ask_witness(&mut self, place: usize, call: &Call) {
        self.reach(Step::AskWitness, place);
        let waiting = Waiting {
            key: call.key.clone(),
            body: call.body,
            until_ms: self.now_ms + CLAIM_MS,
            stage: Stage::Witness,
        };
        self.instances[place]
            .waiting
            .insert(call.key.to_string(), waiting);
        if self.disabled == DisabledSafeguard::Witness {
            self.granted(place, &call.key, Some(ClaimVerdict::Granted));
            return;
        }
        let witness = self.by_name(&call.key.witness.instance);
        let message = Message::Claim {
            home: place,
            key: call.key.clone(),
            body: call.body,
        };
        self.send_between(place, witness, message);
    }

    /// A claim arrives at the witness.
    pub(crate) fn claimed(&mut self, place: usize, home: usize, key: &IdempotencyKey, body: u64) {
        let now_ms = self.instances[place].clock_ms(self.now_ms);
        let verdict = self.instances[place]
            .witness
            .claim(now_ms, key, digest(body));
        self.reach(Step::AnswerHome, place);
        let key = key.clone();
        self.send_between(place, home, Message::Verdict { key, verdict });
    }

    /// The witness's word arrives, or does not in time.
    pub(crate) fn granted(
        &mut self,
        place: usize,
        key: &IdempotencyKey,
        verdict: Option<ClaimVerdict>,
    ) {
        let text = key.to_string();
        let Some(waiting) = self.instances[place].waiting.get(&text).cloned() else {
            return;
        };
        if waiting.stage != Stage::Witness {
            return;
        }
        self.instances[place].waiting.remove(&text);
        if !self.instances[place].home.record_verdict(key, verdict) {
            self.reply_all(place, key);
            return;
        }
        self.reach(Step::DispatchCall, place);
        let waiting = Waiting {
            until_ms: self.now_ms + SERVICE_MS,
            stage: Stage::Service,
            ..waiting
        };
        let body = waiting.body;
        self.instances[place].waiting.insert(text, waiting);
        if self.instances[place].speaks(self.now_ms) && self.instances[place].acts(self.now_ms) {
            self.send_to_service(place, key.clone(), body);
        }
    }

    /// The call arrives at the service and takes effect.
    pub(crate) fn served(&mut self, place: usize, key: IdempotencyKey, body: u64) {
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
            self.send_later(delay_ms, place, Message::Served { key, body });
        }
    }

    /// The service's answer arrives at the home.
    pub(crate) fn finished(&mut self, place: usize, key: &IdempotencyKey, body: u64) {
        self.reach(Step::FinishCall, place);
        if !self.instances[place].acts(self.now_ms) {
            return;
        }
        self.instances[place].waiting.remove(&key.to_string());
        self.instances[place].home.record_answer(key, answer(body));
        let witness = self.by_name(&key.witness.instance);
        let message = Message::Keep {
            key: key.clone(),
            body,
        };
        self.send_between(place, witness, message);
        self.reply_all(place, key);
    }

    /// The home's answer arrives at the witness.
    pub(crate) fn kept(&mut self, place: usize, key: &IdempotencyKey, body: u64) {
        self.instances[place].witness.finish(key, answer(body));
    }

    fn fence(&mut self, place: usize, number: usize) {
        let call = self.calls[number].clone();
        let witness = self.by_name(&call.key.witness.instance);
        if place != witness && !self.connected(place, witness) {
            return;
        }
        if !self.instances[witness].acts(self.now_ms) {
            return;
        }
        let now_ms = self.instances[witness].clock_ms(self.now_ms);
        let status = self.instances[witness]
            .witness
            .fence(now_ms, &call.key, digest(call.body));
        self.reply(place, number, &status);
    }

    /// Times of homes that ran out.
    pub(crate) fn expire_calls(&mut self, place: usize) {
        let due: Vec<Waiting> = self.instances[place]
            .waiting
            .values()
            .filter(|waiting| waiting.until_ms <= self.now_ms)
            .cloned()
            .collect();
        for waiting in due {
            match waiting.stage {
                Stage::Witness => self.granted(place, &waiting.key, None),
                Stage::Service => {
                    self.instances[place]
                        .waiting
                        .remove(&waiting.key.to_string());
                    self.instances[place].home.record_unknown(&waiting.key);
                }
            }
        }
    }

    fn reply_all(&mut self, place: usize, key: &IdempotencyKey) {
        let status = self.instances[place].home.status(key);
        for number in 0..self.calls.len() {
            if self.calls[number].key == *key {
                self.reply(place, number, &status);
            }
        }
    }

    fn reply(&mut self, place: usize, number: usize, status: &CallStatus) {
        if !self.instances[place].speaks(self.now_ms) {
            return;
        }
        let call = &mut self.calls[number];
        match status.state {
            CallState::Done => {
                call.over = true;
                let body = status.answer.as_ref().map(|answer| answer.body.clone());
                if body != Some(call.body.to_le_bytes().to_vec()) {
                    let detail = format!("call {} got another's answer", call.body);
                    self.violate(Invariant::OwnAnswer, detail);
                }
            }
            CallState::Unseen => call.told_not_run = true,
            _ => {}
        }
    }

    /// What was told of calls, against what the service did.
    pub(crate) fn check_calls(&mut self) {
        let untrue: Vec<u64> = self
            .calls
            .iter()
            .filter(|call| call.told_not_run && self.service.effects.contains_key(&call.body))
            .map(|call| call.body)
            .collect();
        for body in untrue {
            self.violate(
                Invariant::TrueRefusal,
                format!("call {body} was told not to have run"),
            );
        }
    }
}
