//! Authentication of callers and operators.

use crate::core::Core;
use actix_web::HttpRequest;
use shaleline_config::{Role, Tenant};
use shaleline_types::{Error, ErrorKind, Result, TokenHash};
use std::sync::Arc;

/// The operator name recorded for changes made with the token of the settings.
const BOOTSTRAP: &str = "bootstrap";

fn bearer(request: &HttpRequest) -> Result<TokenHash> {
    let header = request.headers().get("authorization");
    let text = header.and_then(|h| h.to_str().ok()).unwrap_or_default();
    let token = text.strip_prefix("Bearer ").map(str::trim);
    match token.filter(|t| !t.is_empty()) {
        Some(token) => Ok(TokenHash::from_token(token)),
        None => Err(ErrorKind::Unauthenticated.into()),
    }
}

/// Returns the organisation that the request's token belongs to.
pub(crate) fn caller(core: &Core, request: &HttpRequest) -> Result<Arc<Tenant>> {
    let token = bearer(request)?;
    let view = core.view();
    let tenant = view.caller(&token).cloned();
    tenant.ok_or_else(|| ErrorKind::Unauthenticated.into())
}

/// An authenticated operator.
pub(crate) struct Operator {
    pub(crate) name: String,
    pub(crate) role: Role,
}

/// Returns the operator that the request's token belongs to.
pub(crate) fn operator(core: &Core, request: &HttpRequest) -> Result<Operator> {
    let token = bearer(request)?;
    let bootstrap = core.settings.admin_hash.as_ref();
    if bootstrap.is_some_and(|h| h.matches(&token)) {
        return Ok(Operator {
            name: BOOTSTRAP.to_owned(),
            role: Role::All,
        });
    }
    let view = core.view();
    let operator = view.operator(&token);
    let who = operator.map(|o| Operator {
        name: o.name.clone(),
        role: o.role.clone(),
    });
    who.ok_or_else(|| ErrorKind::Unauthenticated.into())
}

impl Operator {
    /// Returns an error if the role may not read all of the configuration.
    pub(crate) fn check_read(&self) -> Result<()> {
        if self.role.may_read_all() {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::Forbidden,
            "this role reads one organisation only",
        ))
    }
}
