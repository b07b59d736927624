//! Whether an attempt was executed, as far as its outcome shows.

/// Whether an attempt that has ended was executed by the server, as far as its outcome shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEvidence {
    /// The attempt was not executed and will not be executed.
    NotExecuted,
    /// The attempt was executed, and its execution has finished.
    Executed,
    /// The attempt may have been executed, or may still be executed until its deadline.
    PossiblyExecuted,
}
