//! The closed list of error kinds and the table that maps each kind to its answer.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A result with the workspace's [`Error`] type.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether a request ran, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and this is its complete answer.
    Run,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The value of the `x-shaleline-outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The category of an error, which determines how a caller should react.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The caller must change the request.
    Caller,
    /// The same request may succeed later.
    Later,
    /// The request may have run; the caller decides whether to repeat it.
    Doubt,
    /// The system is at fault.
    System,
}

/// The answer that a caller receives for one kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The stable code of the kind.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The retry-after time, where a retry makes sense.
    pub retry_after: Option<Millis>,
}

macro_rules! kinds {
    ($($kind:ident $code:literal $status:literal $outcome:ident $category:ident $retry_after:expr, $doc:literal;)+) => {
        /// The kind of an error, as callers and operators see it.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ErrorKind {
            $(#[doc = $doc] $kind,)+
        }

        impl ErrorKind {
            /// Every kind, in the order of `docs/ERRORS.md`.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// The answer for this kind.
            #[must_use]
            pub const fn answer(self) -> Answer {
                let retry_after: Option<u64> = match self { $(Self::$kind => $retry_after,)+ };
                let retry_after = match retry_after { Some(ms) => Some(Millis(ms)), None => None };
                match self {
                    $(Self::$kind => Answer {
                        code: $code, status: $status, outcome: Outcome::$outcome, retry_after,
                    },)+
                }
            }

            /// The category of this kind.
            #[must_use]
            pub const fn category(self) -> Category {
                match self { $(Self::$kind => Category::$category,)+ }
            }

            /// A one-sentence description of the kind.
            #[must_use]
            pub const fn description(self) -> &'static str {
                match self { $(Self::$kind => $doc,)+ }
            }
        }
    };
}

kinds! {
    BadRequest "bad-request" 400 NotRun Caller None, "The request is malformed.";
    TooLarge "too-large" 413 NotRun Caller None, "The body is larger than the limit.";
    HeadTooLarge "head-too-large" 431 NotRun Caller None, "The head of the request is larger than the limit.";
    BodyLate "body-late" 408 NotRun Later None, "The body of the request did not arrive in time.";
    Unauthenticated "unauthenticated" 401 NotRun Caller None, "The token is missing or wrong.";
    KeyUnknown "key-unknown" 401 NotRun Caller None, "No organisation holds the API key, or the request shows none.";
    Forbidden "forbidden" 403 NotRun Caller None, "The token's role does not allow this.";
    UnknownModel "unknown-model" 404 NotRun Caller None, "The organisation has no such model or adapter.";
    UnknownService "unknown-service" 404 NotRun Caller None, "The organisation has no such service.";
    NotFound "not-found" 404 NotRun Caller None, "There is no such object.";
    Conflict "conflict" 409 NotRun Caller None, "The object changed since the version this change was made from.";
    Invalid "invalid" 422 NotRun Caller None, "The change does not check out.";
    KeyConflict "key-conflict" 422 NotRun Caller None, "The idempotency key was used for another request.";
    RateLimited "rate-limited" 429 NotRun Later Some(1_000), "The organisation is over one of its limits.";
    Overloaded "overloaded" 503 NotRun Later Some(500), "The queue is full.";
    DeadlineUnmet "deadline-unmet" 503 NotRun Later Some(500), "The request can't start within its target.";
    NoUpstream "no-upstream" 503 NotRun Later Some(1_000), "No upstream serves this at the moment.";
    NotReady "not-ready" 503 NotRun Later Some(1_000), "The daemon has no current configuration.";
    KeysStale "keys-stale" 503 NotRun Later Some(100), "The daemon can't know whether the API key still holds; another one may.";
    AllowanceUnknown "allowance-unknown" 503 NotRun Later Some(100), "No daemon that keeps the organisation's allowance answers; another one may reach it.";
    Leaving "leaving" 503 NotRun Later Some(100), "The daemon is stopping.";
    LogUnavailable "log-unavailable" 503 NotRun Later Some(5_000), "The platform's log can't be reached, so nothing may begin.";
    JournalFull "journal-full" 503 NotRun Later Some(60_000), "The at-most-once journal holds as many keys as it may.";
    UpstreamFailed "upstream-failed" 502 Unknown Doubt None, "The upstream failed after the request was sent.";
    BrokenStream "broken-stream" 502 Unknown Doubt None, "The answer broke off and could not be resumed.";
    EndsUpstreams "ends-upstreams" 502 Unknown Caller None, "The request ended each upstream that ran it and is not sent any more; earlier sends may have run.";
    TimedOut "timed-out" 504 Unknown Doubt None, "The upstream gave no answer in time.";
    OutcomeUnknown "outcome-unknown" 409 Unknown Doubt None, "The request was begun earlier and its end is not known; it will not be run again.";
    Halted "halted" 503 NotRun System Some(10_000), "A record of the log can't be understood; the daemon stopped applying.";
    Internal "internal" 500 Unknown System None, "An invariant did not hold.";
    UpstreamsLimited "upstreams-limited" 503 NotRun Later Some(1_000), "Every upstream that serves this limits what it takes, and none takes the request in time.";
    VersionUnavailable "version-unavailable" 503 NotRun Later Some(1_000), "No upstream of the software version that began this stream serves it, or that version is not known.";
    AnswerTooLarge "answer-too-large" 502 Unknown Doubt None, "The answer of the upstream exceeded the limit of its head or body, and its connection was closed.";
}

/// An error with its kind, a human-readable detail and a retry-after time.
///
/// The representation is private on purpose: handle errors by [`Error::kind`] or
/// [`Error::category`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(Box<Inner>);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Inner {
    kind: ErrorKind,
    detail: String,
    retry_after: Option<Millis>,
}

impl Error {
    /// Creates an error of `kind`. `detail` is shown to the caller and must not contain secrets.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self(Box::new(Inner {
            kind,
            detail: detail.into(),
            retry_after: kind.answer().retry_after,
        }))
    }

    /// Replaces the kind's default retry-after time by a more precise one.
    #[must_use]
    pub fn with_retry_after(mut self, after: Millis) -> Self {
        self.0.retry_after = Some(after);
        self
    }

    /// The kind of this error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.0.kind
    }

    /// The category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        self.0.kind.category()
    }

    /// The retry-after time, if a retry makes sense.
    #[must_use]
    pub fn retry_after(&self) -> Option<Millis> {
        self.0.retry_after
    }

    /// The human-readable detail.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.0.detail
    }
}

impl From<ErrorKind> for Error {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.description())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.0.kind.answer().code, self.0.detail)
    }
}

impl std::error::Error for Error {}
