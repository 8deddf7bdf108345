//! Finds the organisation of a request, and decides whether the configuration is recent enough to
//! rely on.
//!
//! A key is valid only while it is known that no newer configuration has revoked it. A daemon that
//! has lost contact stops admitting by itself before the platform's bound is over, by the clock
//! that counts suspension. `docs/KEYS.md` argues why no request runs past the bound.

use crate::{Head, OrgRule, Orgs, RouteRule};
use shaleline_types::{ErrorKind, Millis};

/// The platform's rule for revoked keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Revocation {
    /// Whether a daemon that can't know of a revocation stops admitting.
    pub closed: bool,
    /// The time after which no request with a revoked key may run.
    pub within: Millis,
}

/// The time since the configuration in force was confirmed as the newest; none if it never was.
pub(crate) type ConfigAge = Option<Millis>;

impl Revocation {
    /// Whether keys can be relied on: even if a key was revoked since, the bound for it is not over
    /// yet.
    pub(crate) fn holds(&self, age: ConfigAge) -> bool {
        !self.closed || age.is_some_and(|a| a < self.within)
    }
}

/// The organisation of a request; none if its route asks for no key, or if there are no
/// organisations.
///
/// An unknown key is refused for good only if the configuration is known as of `apply` ago: the key
/// may have been added since.
pub(crate) fn authenticate<'a>(
    orgs: Option<&'a Orgs>,
    rule: &RouteRule,
    head: &Head,
    revocation: Revocation,
    apply: Millis,
    age: ConfigAge,
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
