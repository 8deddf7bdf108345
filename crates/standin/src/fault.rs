//! Faults on command, the bodies of `POST /fault`.

use serde::{Deserialize, Serialize};
use shaleline_types::{Offset, Stream};

/// Faults of the log and the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFault {
    /// No answer for so many milliseconds.
    Outage(u64),
    /// So many appends take effect without an answer.
    LoseAnswers(u32),
    /// So many appends take effect only after so many milliseconds, without an answer.
    Late {
        /// How many.
        count: u32,
        /// How late.
        ms: u64,
    },
    /// Records of a stream before an offset are dropped.
    Trim {
        /// The stream.
        stream: Stream,
        /// The offset of the oldest record that stays.
        before: Offset,
    },
    /// The list shows an instance as leaving.
    ListLeaving(String),
    /// The list no longer shows an instance.
    ListRemove(String),
}

/// Faults of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineFault {
    /// Requests are taken and never answered.
    Hang(bool),
    /// The next so many streams break after so many tokens.
    Break {
        /// How many streams.
        count: u32,
        /// After how many tokens.
        after: u32,
    },
    /// It reports that it is leaving.
    Leaving(bool),
    /// The next so many orders are lost.
    LoseOrders(u32),
    /// Orders take effect so many milliseconds late.
    DelayOrders(u64),
    /// It starts anew: a new life that holds nothing.
    Restart,
}

/// Faults of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceFault {
    /// Calls are taken and never answered.
    Hang(bool),
    /// The next so many calls run, and their answers are lost.
    LoseAnswers(u32),
    /// Each call takes so many milliseconds.
    Slow(u64),
    /// It reports that it is leaving.
    Leaving(bool),
}
