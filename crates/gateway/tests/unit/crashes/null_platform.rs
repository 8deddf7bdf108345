//! A platform without a store, for simulations that neither decode records nor send HTTP requests.

use crate::{
    AnswerHead, Batch, Call, Codec, Entry, ForwardContext, Head, Malformed, Store, StoreError,
    StoreResult, Table, Topic,
};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use hyper::{HeaderMap, StatusCode};
use shaleline_fleet::{Held, Order, OrderReply};
use shaleline_route::Load;
use shaleline_types::{Millis, Position, Upstream};

pub struct StubCodec;

fn malformed<T>() -> Result<T, Malformed> {
    Err(Malformed("these simulations decode nothing".to_owned()))
}

impl Codec for StubCodec {
    fn table(&self, _: &[u8]) -> Result<Table, Malformed> {
        malformed()
    }

    fn entry(&self, _: &[u8]) -> Result<Entry, Malformed> {
        malformed()
    }

    fn head(&self, _: &HeaderMap) -> Result<Head, Malformed> {
        malformed()
    }

    fn forward(&self, headers: &HeaderMap, _: &ForwardContext) -> HeaderMap {
        headers.clone()
    }

    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        let load: Option<Vec<usize>> =
            text("load").map(|l| l.split(',').flat_map(str::parse).collect());
        AnswerHead {
            id: text("request-id").map(str::to_owned),
            signed: text("request-id").is_some(),
            not_run: status == StatusCode::SERVICE_UNAVAILABLE,
            load: load.and_then(|l| <[usize; 3]>::try_from(l).ok()).map(
                |[running, waiting, slots]| Load {
                    running,
                    waiting,
                    slots,
                    ..Load::default()
                },
            ),
            ..AnswerHead::default()
        }
    }

    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }

    fn refusal(&self, _: &str, _: Option<Millis>) -> HeaderMap {
        HeaderMap::new()
    }

    fn order(&self, _: &Order) -> Call {
        panic!("these simulations send no orders")
    }

    fn order_reply(&self, _: StatusCode) -> OrderReply {
        panic!("these simulations send no orders")
    }

    fn report(&self, _: &Upstream) -> Call {
        panic!("these simulations request no reports")
    }

    fn held(&self, _: &[u8]) -> Result<Held, Malformed> {
        malformed()
    }

    fn remaining(&self, _: &[u8]) -> Option<Millis> {
        None
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

pub struct UnavailableStore;

impl Store for UnavailableStore {
    fn newest(&self, _: Topic) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        async { Err(StoreError::Lost) }.boxed_local()
    }

    fn tail(&self, _: Topic, _: Position, _: Millis) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        async { Err(StoreError::Lost) }.boxed_local()
    }

    fn append(
        &self,
        _: Topic,
        _: &str,
        _: &[u8],
        _: Option<Position>,
    ) -> LocalBoxFuture<'_, StoreResult<Position>> {
        async { Err(StoreError::Lost) }.boxed_local()
    }
}
