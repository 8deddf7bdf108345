//! Templates, organisations and the replay that accepts or refuses configuration changes.
//!
//! An operator writes a [`Template`] once; an [`Organisation`] is the name of a template and
//! values for its parameters. A [`Change`] contains the version that it is based on, and
//! [`ConfigMachine`], which is replayed from the log, accepts it only if that version is still
//! current and the resulting configuration is valid. Of two conflicting changes exactly one is
//! therefore accepted, and all daemons agree on which. A [`View`] is the resolved configuration
//! that a daemon uses to serve requests, with each organisation resolved into a [`Tenant`].
//!
//! `docs/CONFIGURATION.md` compares the alternatives.

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
