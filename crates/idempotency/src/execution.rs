//! What is known about the execution of an attempt.

/// What the end of an attempt proves about its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEvidence {
    /// The attempt was not executed and will not be.
    NotExecuted,
    /// The attempt was executed, and its execution is over.
    Executed,
    /// The attempt may have been executed, or may yet be until its deadline.
    PossiblyExecuted,
}
