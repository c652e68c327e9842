//! Faults, steps and the matrix of both.

use std::fmt::Write;

use derive_more::Display;

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Fault {
    /// The instance that reaches the step dies and is replaced after 3 s.
    #[display("kill")]
    Kill,
    /// The instance is paused for longer than a lease lasts.
    #[display("pause")]
    Pause,
    /// The instance can neither send nor receive.
    #[display("cut off")]
    CutOff,
    /// The instance cannot send, but still receives.
    #[display("cut off one way")]
    CutOffOneWay,
    /// The instance cannot reach the log.
    #[display("cut off from log")]
    CutOffFromLog,
    /// The log is unavailable.
    #[display("log down")]
    LogDown,
    /// The log answers after 2.5 s.
    #[display("log slow")]
    LogSlow,
    /// Appends take effect, but their answers are lost.
    #[display("log answers lost")]
    LogAnswersLost,
    /// Old records expire and the instance dies, so that its replacement starts from a snapshot.
    #[display("records expired")]
    RecordsExpired,
    /// The engines crash and restart without state.
    #[display("engines crash")]
    EnginesCrash,
    /// The engines need ten times as long for an order.
    #[display("engines slow")]
    EnginesSlow,
    /// The plain service answers after the caller has timed out.
    #[display("service slow")]
    ServiceSlow,
    /// Calls to the plain service take effect, but their answers are lost.
    #[display("service answers lost")]
    ServiceAnswersLost,
    /// A second operator publishes another bundle under the same version.
    #[display("racing operator")]
    RacingOperator,
    /// The instance's clock runs fast by [`lease::CLOCK_RATE_BOUND`].
    #[display("clock fast")]
    ClockFast,
    /// The instance's clock runs slow by [`lease::CLOCK_RATE_BOUND`].
    #[display("clock slow")]
    ClockSlow,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 16] = [
        Self::Kill,
        Self::Pause,
        Self::CutOff,
        Self::CutOffOneWay,
        Self::CutOffFromLog,
        Self::LogDown,
        Self::LogSlow,
        Self::LogAnswersLost,
        Self::RecordsExpired,
        Self::EnginesCrash,
        Self::EnginesSlow,
        Self::ServiceSlow,
        Self::ServiceAnswersLost,
        Self::RacingOperator,
        Self::ClockFast,
        Self::ClockSlow,
    ];
}

/// Step at which a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Step {
    /// A claim of a lease is queued.
    #[display("claim lease")]
    ClaimLease,
    /// A renewal is queued.
    #[display("renew lease")]
    RenewLease,
    /// A lease is released.
    #[display("release lease")]
    ReleaseLease,
    /// A bundle is published.
    #[display("publish")]
    Publish,
    /// A bundle is signed.
    #[display("sign")]
    Sign,
    /// A bundle is rolled out.
    #[display("roll")]
    Roll,
    /// A bundle is withdrawn.
    #[display("withdraw")]
    Withdraw,
    /// The record of an order is queued.
    #[display("place order")]
    PlaceOrder,
    /// An order is about to be sent to its engine.
    #[display("send order")]
    SendOrder,
    /// The record that settles an order is queued.
    #[display("settle order")]
    SettleOrder,
    /// An engine is drained.
    #[display("drain")]
    Drain,
    /// An instance starts.
    #[display("start")]
    Start,
    /// An instance begins a planned stop.
    #[display("stop")]
    Stop,
    /// The home of a call admits it.
    #[display("admit call")]
    AdmitCall,
    /// The home claims the call at its witness.
    #[display("ask witness")]
    AskWitness,
    /// The witness answers the claim.
    #[display("answer home")]
    AnswerHome,
    /// The home dispatches the call to the service.
    #[display("dispatch call")]
    DispatchCall,
    /// The service's answer reaches the home.
    #[display("finish call")]
    FinishCall,
    /// A caller retries its call at another instance.
    #[display("retry call")]
    RetryCall,
    /// A snapshot is queued.
    #[display("snapshot")]
    Snapshot,
}

impl Step {
    /// All steps.
    pub const ALL: [Self; 20] = [
        Self::ClaimLease,
        Self::RenewLease,
        Self::ReleaseLease,
        Self::Publish,
        Self::Sign,
        Self::Roll,
        Self::Withdraw,
        Self::PlaceOrder,
        Self::SendOrder,
        Self::SettleOrder,
        Self::Drain,
        Self::Start,
        Self::Stop,
        Self::AdmitCall,
        Self::AskWitness,
        Self::AnswerHome,
        Self::DispatchCall,
        Self::FinishCall,
        Self::RetryCall,
        Self::Snapshot,
    ];
}

/// Cell of the matrix: one fault at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{fault} at {step}")]
pub struct Cell {
    /// Fault to inject.
    pub fault: Fault,
    /// Step at which it is injected.
    pub step: Step,
}

/// Reason to skip a cell whose fault cannot affect its step; `None` if the cell is run.
pub fn skip_reason(cell: Cell) -> Option<&'static str> {
    let is_call = matches!(
        cell.step,
        Step::AdmitCall
            | Step::AskWitness
            | Step::AnswerHome
            | Step::DispatchCall
            | Step::FinishCall
            | Step::RetryCall
    );
    match cell.fault {
        Fault::RacingOperator
            if !matches!(
                cell.step,
                Step::Publish | Step::Sign | Step::Roll | Step::Withdraw
            ) =>
        {
            Some("operators race only over bundles")
        }
        Fault::ServiceSlow | Fault::ServiceAnswersLost if !is_call => {
            Some("the service takes no part in the step")
        }
        Fault::EnginesCrash | Fault::EnginesSlow if is_call => {
            Some("engines take no part in the step")
        }
        _ => None,
    }
}

/// All cells of the matrix, skipped ones included.
pub fn cells() -> impl Iterator<Item = Cell> {
    let cell = |fault| Step::ALL.into_iter().map(move |step| Cell { fault, step });
    Fault::ALL.into_iter().flat_map(cell)
}

/// Renders the matrix for docs/FAULTS.md: `x` marks cells that run, `-` skipped cells.
pub fn markdown() -> String {
    let mut text = "| step |".to_owned();
    for fault in Fault::ALL {
        let _ = write!(text, " {fault} |");
    }
    text.push_str("\n| --- |");
    text.push_str(&" --- |".repeat(Fault::ALL.len()));
    text.push('\n');
    for step in Step::ALL {
        let _ = write!(text, "| {step} |");
        for fault in Fault::ALL {
            let mark = if skip_reason(Cell { fault, step }).is_some() {
                "-"
            } else {
                "x"
            };
            let _ = write!(text, " {mark} |");
        }
        text.push('\n');
    }
    text
}
