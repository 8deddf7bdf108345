//! Templates, organisations and the replay that accepts or refuses a change.
//!
//! An operator writes a [`Template`] once; an [`Organisation`] is a template's name and
//! values for its parameters. A [`Change`] names the version it was made from, and
//! [`ConfigMachine`], replayed from the log, accepts it only if that is still current
//! and the whole checks out. So of two operators who race, exactly one wins, and every
//! daemon knows which. A [`View`] is what the daemon serves by: each organisation
//! resolved into a [`Tenant`].
//!
//! The ways that were weighed are in `docs/CONFIGURATION.md`.

mod change;
mod check;
mod fleet;
mod machine;
mod operator;
mod template;
mod tenant;
mod view;

pub use change::{Change, Op, Refusal, Verdict};
pub use fleet::{AcceleratorSpec, AdapterSpec, Fleet, ModelSpec, ServiceSpec};
pub use machine::{ConfigMachine, ObjectVersion};
pub use operator::{Operator, Role};
pub use template::{Organisation, Param, ParamKind, Setting, Settings, Template, Value};
pub use tenant::Tenant;
pub use view::View;
