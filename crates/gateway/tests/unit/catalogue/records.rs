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
    /// How often the store has come back from an older copy, and once more.
    era: Cell<u64>,
    /// Whether the store answers no call.
    pub unavailable: Cell<bool>,
}

impl Records {
    /// Comes back from an older copy, which lacks the newest records.
    pub fn go_back(&self, lost: usize) {
        let mut all = self.all.borrow_mut();
        let left = all.len().saturating_sub(lost);
        all.truncate(left);
        self.era.set(self.era() + 1);
    }

    fn era(&self) -> u64 {
        self.era.get().max(1)
    }

    fn end(&self) -> Position {
        Position::new(self.era(), self.all.borrow().len() as u64)
    }
}

/// A daemon's client of the shared records, and the era that it has seen.
pub struct SharedStore {
    records: Rc<Records>,
    era: Cell<u64>,
}

impl SharedStore {
    pub fn new(records: Rc<Records>) -> Self {
        let era = Cell::new(0);
        Self { records, era }
    }

    fn read(&self, topic: Topic) -> StoreResult<Batch> {
        if self.records.unavailable.get() || topic != Topic::Planner {
            return Err(StoreError::Lost);
        }
        self.era.set(self.records.era());
        let all = self.records.all.borrow();
        Ok(Batch {
            records: all.last().cloned().into_iter().collect(),
            next: self.records.end(),
        })
    }

    fn write(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        end: Option<Position>,
    ) -> StoreResult<Position> {
        if self.records.unavailable.get() || topic != Topic::Planner {
            return Err(StoreError::Lost);
        }
        let position = self.records.end();
        if end.is_some_and(|e| e.era() < self.era.get()) {
            return Err(StoreError::Moved(position));
        }
        self.era.set(position.era());
        if end.is_some_and(|e| e.offset() != position.offset()) {
            return Err(StoreError::Moved(position));
        }
        self.records.all.borrow_mut().push(Record {
            key: key.to_owned(),
            value: Some(value.to_vec()),
            position,
        });
        match end.is_some_and(|e| e.era() != position.era()) {
            true => Err(StoreError::Moved(position.next())),
            false => Ok(position),
        }
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

    fn era(&self) -> u64 {
        self.era.get()
    }
}
