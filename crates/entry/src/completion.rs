//! `POST /v1/chat/completions` and `POST /v1/completions`.

use std::rc::Rc;

use actix_http::{Request, StatusCode};
use bytes::Bytes;
use tokio::sync::mpsc;
use web::Response;

use crate::app::App;
use crate::openai::{CompletionMetadata, CompletionRequest, Endpoint};
use crate::refusal::{Code, Refusal};
use crate::request_context::{completion_job, request_context};
use crate::resume::token;
use crate::runner::{CompletionEvent, CompletionJob, CompletionRunner};

/// Number of buffered events per caller. When the buffer is full, no more is read from the engine.
const EVENT_BUFFER: usize = 64;

/// A slot among the workspace's requests in flight, released on drop however the request ends.
pub(crate) struct WorkspaceSlot {
    app: Rc<App>,
    workspace: String,
}

impl WorkspaceSlot {
    pub(crate) fn acquire(app: &Rc<App>, workspace: &str, most: u32) -> Result<Self, Refusal> {
        if !app
            .workspace_limiter
            .borrow_mut()
            .try_acquire(workspace, most)
        {
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

impl Drop for WorkspaceSlot {
    fn drop(&mut self) {
        self.app
            .workspace_limiter
            .borrow_mut()
            .release(&self.workspace);
        self.app.in_flight.set(self.app.in_flight.get() - 1);
        self.app.metrics.in_flight.dec();
    }
}

/// Answers a completion request.
pub(crate) async fn complete(
    app: &Rc<App>,
    mut request: Request,
    endpoint: Endpoint,
) -> Result<Response, Refusal> {
    let context = request_context(app, &request)?;
    let slot = WorkspaceSlot::acquire(app, &context.tenant.workspace, context.tenant.in_flight)?;
    let limits = &app.settings.limits;
    let payload = request.take_payload();
    let read = web::read_body(payload, limits.body_bytes as usize, limits.body_timeout_ms).await?;
    let started_us = app.clock.now_us();
    let body: CompletionRequest = web::parse_json(&read)?;
    let job = completion_job(app, &context, &body, endpoint)?;
    let metadata = CompletionMetadata {
        id: format!("cmpl-{}", job.id),
        model: job.model.clone(),
        endpoint,
        created: tick::wall_ms() / 1_000,
    };
    let now_ms = app.now_ms();
    let output = f64::from(job.max_tokens);
    app.forecast
        .borrow_mut()
        .record_arrival(now_ms, job.rank, job.prompt_tokens, output);
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    actix_rt::spawn(CompletionRunner::new(app.clone(), job.clone(), sender).run());
    let processing_s = (app.clock.now_us() - started_us) as f64 / 1e6;
    app.metrics
        .processing_time
        .with_label_values(&["admit"])
        .observe(processing_s);
    let response = CompletionResponse {
        app: app.clone(),
        job,
        metadata,
        workspace: context.tenant.workspace.clone(),
        _slot: slot,
    };
    if body.stream {
        response.stream(receiver).await
    } else {
        response.collect(receiver).await
    }
}

/// Response to a completion request that is being run.
struct CompletionResponse {
    app: Rc<App>,
    job: CompletionJob,
    metadata: CompletionMetadata,
    workspace: String,
    _slot: WorkspaceSlot,
}

impl CompletionResponse {
    async fn collect(
        self,
        mut events: mpsc::Receiver<CompletionEvent>,
    ) -> Result<Response, Refusal> {
        let mut text = String::new();
        while let Some(event) = events.recv().await {
            match event {
                CompletionEvent::Token { text: more, .. } => text.push_str(&more),
                CompletionEvent::End(usage) => {
                    self.record_answer();
                    let body = self.metadata.complete(&text, usage);
                    return Ok(web::text(StatusCode::OK, "application/json", body));
                }
                CompletionEvent::Failed(refusal) => return Err(refusal),
            }
        }
        Err(Refusal::unknown(Code::Upstream, "the answer was lost"))
    }

    /// Waits for the first event before the status is sent, so that a refusal gets its own status.
    async fn stream(
        self,
        mut events: mpsc::Receiver<CompletionEvent>,
    ) -> Result<Response, Refusal> {
        let first = events.recv().await;
        let first = first.ok_or_else(|| Refusal::unknown(Code::Upstream, "the answer was lost"))?;
        if let CompletionEvent::Failed(refusal) = first {
            return Err(refusal);
        }
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        actix_rt::spawn(self.forward_events(first, events, sender));
        Ok(web::stream("text/event-stream", receiver))
    }

    async fn forward_events(
        self,
        first: CompletionEvent,
        mut events: mpsc::Receiver<CompletionEvent>,
        sender: mpsc::Sender<Bytes>,
    ) {
        let mut next = Some(first);
        while let Some(event) = next {
            let is_last = matches!(event, CompletionEvent::End(_) | CompletionEvent::Failed(_));
            if matches!(event, CompletionEvent::End(_)) {
                self.record_answer();
            }
            // A failed send means that the caller has disconnected; dropping `events` stops the
            // runner.
            if sender
                .send(Bytes::from(self.encode_event(event)))
                .await
                .is_err()
                || is_last
            {
                return;
            }
            next = tokio::select! {
                event = events.recv() => event,
                () = sender.closed() => return,
            };
        }
    }

    fn encode_event(&self, event: CompletionEvent) -> String {
        match event {
            CompletionEvent::Token {
                number,
                text,
                engine,
                request_id,
            } => {
                let resume = token(&engine, &request_id, &self.workspace);
                self.metadata.token(number, &text, &resume)
            }
            CompletionEvent::End(usage) => self.metadata.end(usage),
            CompletionEvent::Failed(refusal) => {
                format!("event: error\ndata: {}\n\n", refusal.event())
            }
        }
    }

    fn record_answer(&self) {
        let in_time = self.app.now_ms() <= self.job.deadline_ms;
        let in_time = if in_time { "yes" } else { "no" };
        let labels = [self.job.class.as_str(), in_time];
        self.app.metrics.answers.with_label_values(&labels).inc();
    }
}
