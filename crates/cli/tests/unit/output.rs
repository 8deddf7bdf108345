//! Tests of output to readers that close their end early.

use crate::output::write;
use shaleline_testkit::cases;
use std::io::{self, ErrorKind, Write};

/// A writer that fails.
struct Failing(ErrorKind);

impl Write for Failing {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(self.0.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn succeeds(kind: ErrorKind) -> bool {
    write(&mut Failing(kind), "state").is_ok()
}

cases! { succeeds;
    a_command_whose_reader_has_seen_enough_succeeds: ErrorKind::BrokenPipe => true,
    a_command_that_cannot_write_fails: ErrorKind::StorageFull => false,
}
