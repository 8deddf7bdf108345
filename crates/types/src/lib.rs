//! Words that every other crate of shaleline shares.
//!
//! * [`Name`]-like identifiers ([`Org`], [`Model`], [`Upstream`], ...) keep one kind of
//!   thing from being passed where another is meant.
//! * Units ([`Millis`], [`Megabytes`], [`Offset`]) keep numbers from being mixed up.
//! * [`Error`] carries one [`ErrorKind`] of a closed list. The table from kind to
//!   answer is in [`ErrorKind::answer`] and, for people, in `docs/ERRORS.md`.
//! * [`LogEvent`] lists the numbered log events of `docs/EVENTS.md`.
//! * [`rank`] orders candidates by rendezvous hashing, which is how work is spread over
//!   daemons without asking anybody.
//! * [`Incarnation`] tells starts of one upstream apart.
//! * [`Fingerprint`] tells that two requests are the same, [`IncarnationTag`] names one start of an
//!   upstream.
//! * [`TokenHash`] and [`KeyHash`] are the only forms in which a secret is kept.

mod error;
mod event;
mod fingerprint;
mod hash;
mod id;
mod incarnation;
mod safeguard;
mod secret;
mod unit;

pub use error::{Answer, Category, Error, ErrorKind, Outcome, Result};
pub use event::{Level, LogEvent};
pub use fingerprint::{Fingerprint, Identity, IncarnationTag};
pub use hash::{digest, rank, stable_hash};
pub use id::{
    Adapter, ChangeId, DataCentre, Instance, InvalidName, Model, Org, RequestId, Service, Stream,
    TemplateName, Upstream, WriterId,
};
pub use incarnation::Incarnation;
pub use safeguard::Safeguard;
pub use secret::{KeyHash, TokenHash};
pub use unit::{Megabytes, Millis, Offset};
