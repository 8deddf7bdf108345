//! Types that all other crates of shaleline share.
//!
//! * Identifiers ([`Org`], [`Model`], [`Upstream`], ...) have one type for each kind of object,
//!   so that the compiler rejects one kind where another is expected.
//! * Units ([`Millis`], [`Megabytes`], [`Offset`]) prevent mixing quantities.
//! * [`Error`] carries one [`ErrorKind`] of a closed list. [`ErrorKind::answer`] maps a kind to
//!   its answer, and `docs/ERRORS.md` documents the table.
//! * [`LogEvent`] lists the numbered log events of `docs/EVENTS.md`.
//! * [`rank`] orders candidates by rendezvous hashing, which distributes work over daemons
//!   without coordination.
//! * [`Incarnation`] distinguishes the starts of one upstream, and [`SoftwareVersion`] the software
//!   of several.
//! * [`Position`] is a position in a topic of a store that may come back from an older copy.
//! * [`Fingerprint`] identifies equal requests, and [`IncarnationTag`] identifies one incarnation
//!   of an upstream.
//! * [`TokenHash`] and [`KeyHash`] are the only forms in which secrets are stored.

mod error;
mod event;
mod fingerprint;
mod hash;
mod id;
mod incarnation;
mod position;
mod safeguard;
mod secret;
mod software;
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
pub use position::Position;
pub use safeguard::Safeguard;
pub use secret::{KeyHash, TokenHash};
pub use software::SoftwareVersion;
pub use unit::{Megabytes, Millis, Offset};
