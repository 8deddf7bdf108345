//! Requests and responses of the OpenAI-compatible completion interfaces.

use crate::core::Core;
use serde::Deserialize;
use serde_json::{json, Value};
use shaleline_config::Tenant;
use shaleline_place::Item;
use shaleline_types::{Error, ErrorKind, RequestId, Result};

const DEFAULT_TOKENS: u32 = 16;
const MAX_MESSAGES: usize = 1_024;

/// A message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// The body of both kinds of request. Unknown fields are ignored, as clients of this interface
/// expect.
#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

/// The interface that the caller uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Style {
    Chat,
    Text,
}

/// A validated request.
#[derive(Debug, Clone)]
pub(crate) struct Completion {
    pub(crate) style: Style,
    pub(crate) name: String,
    pub(crate) item: Item,
    pub(crate) prompt: String,
    pub(crate) tokens: u32,
    pub(crate) stream: bool,
}

impl Completion {
    /// Validates a body. A model of another organisation is handled as an unknown one.
    pub(crate) fn from_body(
        core: &Core,
        tenant: &Tenant,
        style: Style,
        body: &[u8],
    ) -> Result<Self> {
        let bad = |text: String| Error::new(ErrorKind::BadRequest, text);
        let body: Body = serde_json::from_slice(body).map_err(|e| bad(e.to_string()))?;
        let requested = body.max_tokens.or(body.max_completion_tokens);
        let tokens = requested.unwrap_or(DEFAULT_TOKENS);
        let limit = core.settings.token_limit;
        if tokens == 0 || tokens > limit {
            return Err(bad(format!("max_tokens is {tokens}, outside 1 to {limit}")));
        }
        let prompt = match style {
            Style::Chat if body.messages.is_empty() => return Err(bad("no messages".to_owned())),
            Style::Chat if body.messages.len() > MAX_MESSAGES => {
                return Err(bad(format!("more than {MAX_MESSAGES} messages")))
            }
            Style::Chat => flatten(&body.messages),
            Style::Text if body.prompt.is_empty() => return Err(bad("no prompt".to_owned())),
            Style::Text => body.prompt,
        };
        let item = resolve(core, tenant, &body.model).ok_or_else(|| {
            Error::new(
                ErrorKind::UnknownModel,
                format!("no model {:?}", body.model),
            )
        })?;
        Ok(Self {
            style,
            name: body.model,
            item,
            prompt,
            tokens,
            stream: body.stream,
        })
    }

    /// Returns the streamed event for a token.
    pub(crate) fn chunk(&self, id: RequestId, text: &str) -> Value {
        let choice = match self.style {
            Style::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Style::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.envelope(id, self.chunk_object(), &choice)
    }

    /// Returns the last streamed event, which marks the response as complete.
    pub(crate) fn last_chunk(&self, id: RequestId, total: u32) -> Value {
        let reason = self.reason(total);
        let choice = match self.style {
            Style::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Style::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        let mut event = self.envelope(id, self.chunk_object(), &choice);
        event["usage"] = self.usage(total);
        event["x_shaleline"] = json!({"outcome": "run"});
        event
    }

    /// Returns a complete response.
    pub(crate) fn complete_response(&self, id: RequestId, text: &str, total: u32) -> Value {
        let reason = self.reason(total);
        let (object, choice) = match self.style {
            Style::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text},
                    "finish_reason": reason}),
            ),
            Style::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            ),
        };
        let mut response = self.envelope(id, object, &choice);
        response["usage"] = self.usage(total);
        response
    }

    fn chunk_object(&self) -> &'static str {
        match self.style {
            Style::Chat => "chat.completion.chunk",
            Style::Text => "text_completion",
        }
    }

    fn reason(&self, total: u32) -> &'static str {
        if total >= self.tokens {
            "length"
        } else {
            "stop"
        }
    }

    fn usage(&self, total: u32) -> Value {
        let prompt = prompt_tokens(&self.prompt);
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": total,
            "total_tokens": prompt + u64::from(total),
        })
    }

    fn envelope(&self, id: RequestId, object: &str, choice: &Value) -> Value {
        json!({
            "id": format!("cmpl-{id}"),
            "object": object,
            "model": self.name,
            "choices": [choice],
        })
    }

    /// Returns the estimated work of the request, in tokens.
    pub(crate) fn cost(&self) -> u64 {
        prompt_tokens(&self.prompt) / 8 + u64::from(self.tokens)
    }
}

/// Estimates a prompt's tokens at the usual four bytes each; engines count exactly.
fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(4)
}

fn flatten(messages: &[Message]) -> String {
    let line = |m: &Message| format!("{}: {}\n", m.role, m.content);
    messages.iter().map(line).collect()
}

/// Returns the item for a model or adapter name that the organisation may use.
fn resolve(core: &Core, tenant: &Tenant, name: &str) -> Option<Item> {
    let view = core.view();
    if tenant.models.contains(name) {
        let spec = view.fleet.model(name)?;
        return Some(Item::base(&spec.name, spec.version));
    }
    if tenant.adapters.contains(name) {
        let spec = view.fleet.adapter(name)?;
        let base = view.fleet.model(spec.base.as_str())?;
        return Some(Item::base(&base.name, base.version).with_adapter(&spec.name));
    }
    None
}
