//! The table of faults by steps.

use std::fmt::Write;

use derive_more::Display;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Fault {
    /// The acting instance dies and is replaced after 3 s.
    #[display("kill")]
    Kill,
    /// It is paused for longer than any lease.
    #[display("pause")]
    Pause,
    /// It is cut off both ways.
    #[display("cut off")]
    CutOff,
    /// What it sends is lost; what is sent to it arrives.
    #[display("cut off one way")]
    CutOffOneWay,
    /// It reaches everything but the log.
    #[display("cut off from log")]
    CutOffFromLog,
    /// The log answers nothing.
    #[display("log down")]
    LogDown,
    /// The log answers after seconds.
    #[display("log slow")]
    LogSlow,
    /// Appends take effect and their answers are lost.
    #[display("log answers lost")]
    LogAnswersLost,
    /// Old records expire and a replacement must start from a snapshot.
    #[display("records expired")]
    RecordsExpired,
    /// The engines crash and come back with nothing.
    #[display("engines crash")]
    EnginesCrash,
    /// Orders take ten times as long.
    #[display("engines slow")]
    EnginesSlow,
    /// The plain service answers after the caller's deadline.
    #[display("service slow")]
    ServiceSlow,
    /// The plain service does what is asked and its answers are lost.
    #[display("service answers lost")]
    ServiceAnswersLost,
    /// Another operator publishes the same version.
    #[display("racing operator")]
    RacingOperator,
    /// The instance's clock runs fast by the bound.
    #[display("clock fast")]
    ClockFast,
    /// The instance's clock runs slow by the bound.
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

/// The moment at which it goes wrong: when the step is first reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Step {
    /// A claim of a lease is queued.
    #[display("claim lease")]
    ClaimLease,
    /// A renewal is queued.
    #[display("renew lease")]
    RenewLease,
    /// A lease is given up.
    #[display("release lease")]
    ReleaseLease,
    /// A bundle is published.
    #[display("publish")]
    Publish,
    /// A bundle is signed off.
    #[display("sign")]
    Sign,
    /// A bundle is rolled.
    #[display("roll")]
    Roll,
    /// A bundle is withdrawn.
    #[display("withdraw")]
    Withdraw,
    /// The record of an order is queued.
    #[display("place order")]
    PlaceOrder,
    /// An order is about to leave.
    #[display("send order")]
    SendOrder,
    /// The end of an order is queued.
    #[display("settle order")]
    SettleOrder,
    /// An engine is drained.
    #[display("drain")]
    Drain,
    /// An instance starts.
    #[display("start")]
    Start,
    /// An instance begins to leave.
    #[display("stop")]
    Stop,
    /// A home takes a call in.
    #[display("admit call")]
    AdmitCall,
    /// A home asks its witness.
    #[display("ask witness")]
    AskWitness,
    /// A witness answers.
    #[display("answer home")]
    AnswerHome,
    /// A home dispatches a call.
    #[display("dispatch call")]
    DispatchCall,
    /// The answer reaches the home.
    #[display("finish call")]
    FinishCall,
    /// A caller asks a second instance.
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

/// One fault at one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{fault} at {step}")]
pub struct Cell {
    /// What goes wrong.
    pub fault: Fault,
    /// When.
    pub step: Step,
}

/// Why a cell makes no sense, if it does not.
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

/// All cells.
pub fn cells() -> impl Iterator<Item = Cell> {
    let cell = |fault| Step::ALL.into_iter().map(move |step| Cell { fault, step });
    Fault::ALL.into_iter().flat_map(cell)
}

/// The table as docs/FAULTS.md has it: `x` is run, `-` makes no sense.
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
