//! `POST /v1/chat/completions` and `POST /v1/completions`.

use std::rc::Rc;

use actix_http::{Request, StatusCode};
use bytes::Bytes;
use tokio::sync::mpsc;
use web::Response;

use crate::app::App;
use crate::caller::{asked, work};
use crate::openai::{CompletionRequest, Flavor, Head};
use crate::pump::{Event, Pump, Work};
use crate::refusal::{Code, Refusal};
use crate::resume::token;

/// Events on their way to a caller; with a full channel the engine is read no further.
const EVENTS: usize = 64;

/// A place among the workspace's requests in flight, given back however the request ends.
pub(crate) struct Place {
    app: Rc<App>,
    workspace: String,
}

impl Place {
    pub(crate) fn take(app: &Rc<App>, workspace: &str, most: u32) -> Result<Self, Refusal> {
        if !app.workspaces.borrow_mut().try_acquire(workspace, most) {
            let text = format!("workspace {workspace} has {most} requests in flight");
            return Err(Refusal::new(Code::Limited, text).retry_after(500));
        }
        app.in_flight.set(app.in_flight.get() + 1);
        app.metrics.in_flight.inc();
        Ok(Self {
            app: app.clone(),
            workspace: workspace.to_owned(),
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.app.workspaces.borrow_mut().release(&self.workspace);
        self.app.in_flight.set(self.app.in_flight.get() - 1);
        self.app.metrics.in_flight.dec();
    }
}

/// Answers a completion request.
pub(crate) async fn complete(
    app: &Rc<App>,
    mut request: Request,
    flavor: Flavor,
) -> Result<Response, Refusal> {
    let asked = asked(app, &request)?;
    let place = Place::take(app, &asked.tenant.workspace, asked.tenant.in_flight)?;
    let limits = &app.settings.limits;
    let payload = request.take_payload();
    let read = web::read_body(payload, limits.body_bytes as usize, limits.body_timeout_ms).await?;
    let begun_us = app.clock.now_us();
    let body: CompletionRequest = web::parse_json(&read)?;
    let work = work(app, &asked, &body, flavor)?;
    let head = Head {
        id: format!("cmpl-{}", work.id),
        model: work.model.clone(),
        flavor,
        created: tick::wall_ms() / 1_000,
    };
    let now_ms = app.now_ms();
    let output = f64::from(work.max_tokens);
    app.forecast
        .borrow_mut()
        .record_arrival(now_ms, work.rank, work.prompt_tokens, output);
    let (sender, receiver) = mpsc::channel(EVENTS);
    actix_rt::spawn(Pump::new(app.clone(), work.clone(), sender).run());
    let own_s = (app.clock.now_us() - begun_us) as f64 / 1e6;
    app.metrics
        .own_time
        .with_label_values(&["admit"])
        .observe(own_s);
    let answer = Answer {
        app: app.clone(),
        work,
        head,
        tag: asked.tenant.workspace.clone(),
        _place: place,
    };
    if body.stream {
        answer.streamed(receiver).await
    } else {
        answer.whole(receiver).await
    }
}

struct Answer {
    app: Rc<App>,
    work: Work,
    head: Head,
    tag: String,
    _place: Place,
}

impl Answer {
    async fn whole(self, mut events: mpsc::Receiver<Event>) -> Result<Response, Refusal> {
        let mut text = String::new();
        while let Some(event) = events.recv().await {
            match event {
                Event::Token { text: more, .. } => text.push_str(&more),
                Event::End(usage) => {
                    self.answered();
                    let body = self.head.whole(&text, usage);
                    return Ok(web::text(StatusCode::OK, "application/json", body));
                }
                Event::Failed(refusal) => return Err(refusal),
            }
        }
        Err(Refusal::unknown(Code::Upstream, "the answer was lost"))
    }

    /// The status is settled by the first event, so that a refusal is still a refusal.
    async fn streamed(self, mut events: mpsc::Receiver<Event>) -> Result<Response, Refusal> {
        let first = events.recv().await;
        let first = first.ok_or_else(|| Refusal::unknown(Code::Upstream, "the answer was lost"))?;
        if let Event::Failed(refusal) = first {
            return Err(refusal);
        }
        let (sender, receiver) = mpsc::channel(EVENTS);
        actix_rt::spawn(self.feed(first, events, sender));
        Ok(web::stream("text/event-stream", receiver))
    }

    async fn feed(
        self,
        first: Event,
        mut events: mpsc::Receiver<Event>,
        sender: mpsc::Sender<Bytes>,
    ) {
        let mut next = Some(first);
        while let Some(event) = next {
            let ended = matches!(event, Event::End(_) | Event::Failed(_));
            if matches!(event, Event::End(_)) {
                self.answered();
            }
            // A failed send means that the caller is gone; dropping `events` tells the pump.
            if sender.send(Bytes::from(self.bytes(event))).await.is_err() || ended {
                return;
            }
            next = tokio::select! {
                event = events.recv() => event,
                () = sender.closed() => return,
            };
        }
    }

    fn bytes(&self, event: Event) -> String {
        match event {
            Event::Token {
                number,
                text,
                engine,
                request_id,
            } => {
                let resume = token(&engine, &request_id, &self.tag);
                self.head.token(number, &text, &resume)
            }
            Event::End(usage) => self.head.end(usage),
            Event::Failed(refusal) => format!("event: error\ndata: {}\n\n", refusal.event()),
        }
    }

    fn answered(&self) {
        let in_time = self.app.now_ms() <= self.work.deadline_ms;
        let in_time = if in_time { "yes" } else { "no" };
        let labels = [self.work.class.as_str(), in_time];
        self.app.metrics.answers.with_label_values(&labels).inc();
    }
}
