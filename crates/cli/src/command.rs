//! The commands.

use crate::args::Run;
use crate::client::Client;
use crate::{check, file, saved};
use eyre::{bail, eyre, Result};
use serde_json::{json, Value};
use shaleline_config::{Fleet, Op, Operator, Organisation, Role, Template};
use shaleline_types::{Org, TemplateName, TokenHash};

/// Runs a command and returns its output.
pub async fn run(run: &Run) -> Result<String> {
    let words: Vec<&str> = run.words.iter().map(String::as_str).collect();
    let client = Client::new(run);
    let page = match words.as_slice() {
        ["hash", token] => return Ok(TokenHash::from_token(token).as_hex().to_owned()),
        ["check", new] => return check::run(new, None),
        ["check", new, old] => return check::run(new, Some(old)),
        ["losses", logs @ ..] => return saved::losses(logs),
        ["explain", id, logs @ ..] => return saved::explain(id, logs),
        ["show"] => Some("/admin/config"),
        ["state"] => Some("/admin/state"),
        ["members"] => Some("/admin/members"),
        ["upstreams"] => Some("/admin/upstreams"),
        _ => None,
    };
    if let Some(page) = page {
        return pretty(&client.get(page).await?);
    }
    match words.as_slice() {
        ["token", "new", org] => new_token(&client, org).await,
        ["operator", "put", name, role] => put_operator(&client, name, role).await,
        _ => pretty(&client.change(to_op(&words)?).await?),
    }
}

fn to_op(words: &[&str]) -> Result<Op> {
    Ok(match words {
        ["fleet", "put", path] => Op::PutFleet(file::read::<Fleet>(path)?),
        ["template", "put", path] => Op::PutTemplate(Box::new(file::read::<Template>(path)?)),
        ["template", "remove", name] => Op::RemoveTemplate(TemplateName::from_text(name)?),
        ["org", "put", path] => Op::PutOrganisation(file::read::<Organisation>(path)?),
        ["org", "remove", name] => Op::RemoveOrganisation(Org::from_text(name)?),
        ["token", "revoke", org, hash] => Op::RevokeToken {
            org: Org::from_text(org)?,
            token: TokenHash::from_hex(hash)
                .ok_or_else(|| eyre!("{hash:?} is not a token hash"))?,
        },
        ["operator", "remove", name] => Op::RemoveOperator((*name).to_owned()),
        ["drain", target] => drain(target, true),
        ["undrain", target] => drain(target, false),
        _ => bail!("unknown command {:?}; see --help", words.join(" ")),
    })
}

fn drain(target: &str, on: bool) -> Op {
    Op::Drain {
        target: target.to_owned(),
        on,
    }
}

/// Returns a token of 192 random bits. The token is only printed; the daemons receive its
/// hash alone.
fn random_token() -> String {
    let parts: [u64; 3] = rand::random();
    format!("sl-{:016x}{:016x}{:016x}", parts[0], parts[1], parts[2])
}

async fn new_token(client: &Client<'_>, org: &str) -> Result<String> {
    let token = random_token();
    let op = Op::AddToken {
        org: Org::from_text(org)?,
        token: TokenHash::from_token(&token),
    };
    let response = client.change(op).await?;
    pretty(&json!({"token": token, "answer": response}))
}

async fn put_operator(client: &Client<'_>, name: &str, role: &str) -> Result<String> {
    let role = match role.split_once(':') {
        None if role == "read" => Role::Read,
        None if role == "all" => Role::All,
        Some(("organisation", org)) => Role::Organisation(Org::from_text(org)?),
        _ => bail!("{role:?} is not a role: read, all, or organisation:NAME"),
    };
    let token = random_token();
    let operator = Operator {
        name: name.to_owned(),
        role,
        token: TokenHash::from_token(&token),
    };
    let response = client.change(Op::PutOperator(operator)).await?;
    pretty(&json!({"token": token, "answer": response}))
}

fn pretty(value: &Value) -> Result<String> {
    Ok(serde_json::to_string_pretty(value)?)
}
