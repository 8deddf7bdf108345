//! Who a request is from, and whether that may be relied on.
//!
//! A key holds only while it is known that no newer configuration has taken it away. A daemon that
//! is out of touch stops admitting by itself, by the clock that counts suspension, before the
//! platform's bound is over. `docs/KEYS.md` argues why nothing runs past it.

use crate::{Head, OrgRule, Orgs, RouteRule};
use shaleline_types::{ErrorKind, Millis};

/// What the platform says of keys that are taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Revocation {
    /// Whether a daemon that can't know stops admitting.
    pub closed: bool,
    /// The time after which nothing may run that shows such a key.
    pub within: Millis,
}

/// How long ago the configuration in force was the newest for certain; none where that was never
/// known.
pub(crate) type Age = Option<Millis>;

impl Revocation {
    /// Whether keys can be relied on: had one been taken away since, the bound would not be over.
    pub(crate) fn holds(&self, age: Age) -> bool {
        !self.closed || age.is_some_and(|a| a < self.within)
    }
}

/// Whom a request is from: none where its route asks for no key, or where there are no
/// organisations.
///
/// An unknown key is refused for good only where the configuration is known as of `apply` ago: it
/// may have been added since.
pub(crate) fn authenticate<'a>(
    orgs: Option<&'a Orgs>,
    rule: &RouteRule,
    head: &Head,
    revocation: Revocation,
    apply: Millis,
    age: Age,
) -> Result<Option<&'a OrgRule>, ErrorKind> {
    let Some(orgs) = orgs else {
        return Ok(None);
    };
    let found = head.key.as_ref().and_then(|k| orgs.find(k));
    if rule.public {
        return Ok(found.filter(|_| revocation.holds(age)));
    }
    if head.key.is_none() {
        return Err(ErrorKind::KeyUnknown);
    }
    if !revocation.holds(age) {
        return Err(ErrorKind::KeysStale);
    }
    let newest = age.is_some_and(|a| a < apply);
    match found {
        Some(org) => Ok(Some(org)),
        None if newest || !revocation.closed => Err(ErrorKind::KeyUnknown),
        None => Err(ErrorKind::KeysStale),
    }
}
