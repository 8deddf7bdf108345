//! An in-memory store of the topic of planner leases.

use crate::{Batch, Record, Store, StoreError, StoreResult, Topic};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use shaleline_types::Millis;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The records that all daemons share, the newest last.
#[derive(Default)]
pub struct Records {
    all: RefCell<Vec<Record>>,
    /// Whether the store answers no call.
    pub unavailable: Cell<bool>,
}

/// A daemon's client of the shared records.
pub struct SharedStore(pub Rc<Records>);

impl SharedStore {
    fn read(&self, topic: Topic) -> StoreResult<Batch> {
        if self.0.unavailable.get() || topic != Topic::Planner {
            return Err(StoreError::Lost);
        }
        let all = self.0.all.borrow();
        Ok(Batch {
            records: all.last().cloned().into_iter().collect(),
            next: all.len() as u64,
        })
    }

    fn write(&self, topic: Topic, key: &str, value: &[u8], end: Option<u64>) -> StoreResult<u64> {
        if self.0.unavailable.get() || topic != Topic::Planner {
            return Err(StoreError::Lost);
        }
        let mut all = self.0.all.borrow_mut();
        let offset = all.len() as u64;
        if end.is_some_and(|e| e != offset) {
            return Err(StoreError::Moved(offset));
        }
        all.push(Record {
            key: key.to_owned(),
            value: Some(value.to_vec()),
            offset,
        });
        Ok(offset)
    }
}

impl Store for SharedStore {
    fn newest(&self, topic: Topic) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        std::future::ready(self.read(topic)).boxed_local()
    }

    fn tail(&self, topic: Topic, _: u64, _: Millis) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        std::future::ready(self.read(topic)).boxed_local()
    }

    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: Option<u64>,
    ) -> LocalBoxFuture<'_, StoreResult<u64>> {
        std::future::ready(self.write(topic, key, value, end)).boxed_local()
    }
}
