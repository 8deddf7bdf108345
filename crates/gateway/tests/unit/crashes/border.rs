//! A platform that is not there: nothing in these tests speaks to it.

use crate::{
    AnswerHead, Batch, Call, Codec, Entry, ForwardContext, Head, Malformed, Store, StoreError,
    StoreResult, Table, Topic,
};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use hyper::{HeaderMap, StatusCode};
use shaleline_fleet::{Held, Order, OrderReply};
use shaleline_types::{Millis, Upstream};

pub struct NoCodec;

fn none<T>() -> Result<T, Malformed> {
    Err(Malformed("nothing is read here".to_owned()))
}

impl Codec for NoCodec {
    fn table(&self, _: &[u8]) -> Result<Table, Malformed> {
        none()
    }

    fn entry(&self, _: &[u8]) -> Result<Entry, Malformed> {
        none()
    }

    fn head(&self, _: &HeaderMap) -> Result<Head, Malformed> {
        none()
    }

    fn forward(&self, headers: &HeaderMap, _: &ForwardContext) -> HeaderMap {
        headers.clone()
    }

    fn answer(&self, _: StatusCode, _: &HeaderMap) -> AnswerHead {
        AnswerHead::default()
    }

    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }

    fn refusal(&self, _: &str, _: Option<Millis>) -> HeaderMap {
        HeaderMap::new()
    }

    fn order(&self, _: &Order) -> Call {
        panic!("nothing is ordered here")
    }

    fn order_reply(&self, _: StatusCode) -> OrderReply {
        panic!("nothing is ordered here")
    }

    fn report(&self, _: &Upstream) -> Call {
        panic!("nobody is asked for a report here")
    }

    fn held(&self, _: &[u8]) -> Result<Held, Malformed> {
        none()
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

pub struct NoStore;

impl Store for NoStore {
    fn newest(&self, _: Topic) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        async { Err(StoreError::Lost) }.boxed_local()
    }

    fn tail(&self, _: Topic, _: u64, _: Millis) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        async { Err(StoreError::Lost) }.boxed_local()
    }

    fn append(
        &self,
        _: Topic,
        _: &str,
        _: &[u8],
        _: Option<u64>,
    ) -> LocalBoxFuture<'_, StoreResult<u64>> {
        async { Err(StoreError::Lost) }.boxed_local()
    }
}
