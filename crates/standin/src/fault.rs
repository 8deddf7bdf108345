//! Injected faults, the bodies of `POST /fault`.

use serde::{Deserialize, Serialize};
use shaleline_types::{Offset, Stream};

/// Faults of the log and the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFault {
    /// Requests to the log fail for this many milliseconds.
    Outage(u64),
    /// This many appends take effect, and their responses are lost.
    LoseAnswers(u32),
    /// Appends take effect late, and their responses are lost.
    Late {
        /// The number of appends.
        count: u32,
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Records of a stream before an offset are dropped.
    Trim {
        /// The stream.
        stream: Stream,
        /// The offset of the oldest record that is kept.
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
    /// Requests are accepted and get no response while this is set.
    Hang(bool),
    /// The next streams break after a number of tokens.
    Break {
        /// The number of streams.
        count: u32,
        /// The number of tokens before the break.
        after: u32,
    },
    /// The upstream reports that it is leaving.
    Leaving(bool),
    /// This many of the next orders are lost.
    LoseOrders(u32),
    /// Orders take effect with a delay of this many milliseconds.
    DelayOrders(u64),
    /// The engine restarts: a new incarnation without resident models.
    Restart,
}

/// Faults of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceFault {
    /// Calls are accepted and get no response while this is set.
    Hang(bool),
    /// This many of the next calls run, and their responses are lost.
    LoseAnswers(u32),
    /// Each call takes this many milliseconds.
    Slow(u64),
    /// The upstream reports that it is leaving.
    Leaving(bool),
}
