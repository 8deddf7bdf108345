//! An in-memory store of the topic of planner leases.

use crate::{Batch, Record, Store, StoreError, StoreResult, Topic};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use shaleline_types::{Millis, Position};
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
            next: Position::new(0, all.len() as u64),
        })
    }

    fn write(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: Option<Position>,
    ) -> StoreResult<Position> {
        if self.0.unavailable.get() || topic != Topic::Planner {
            return Err(StoreError::Lost);
        }
        let mut all = self.0.all.borrow_mut();
        let position = Position::new(0, all.len() as u64);
        if end.is_some_and(|e| e != position) {
            return Err(StoreError::Moved(position));
        }
        all.push(Record {
            key: key.to_owned(),
            value: Some(value.to_vec()),
            position,
        });
        Ok(position)
    }
}

impl Store for SharedStore {
    fn newest(&self, topic: Topic) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        std::future::ready(self.read(topic)).boxed_local()
    }

    fn tail(&self, topic: Topic, _: Position, _: Millis) -> LocalBoxFuture<'_, StoreResult<Batch>> {
        std::future::ready(self.read(topic)).boxed_local()
    }

    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: Option<Position>,
    ) -> LocalBoxFuture<'_, StoreResult<Position>> {
        std::future::ready(self.write(topic, key, value, end)).boxed_local()
    }
}
