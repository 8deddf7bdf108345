//! Runs independent jobs on half of the cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Runs every job and returns the results in the order of the jobs, so that their sum does
/// not depend on which job finishes first.
pub fn run_all<J: Sync, R: Send>(jobs: &[J], work: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, R)>> = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism()
        .map_or(2, usize::from)
        .div_ceil(2);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(index) else {
                    return;
                };
                let result = work(job);
                results
                    .lock()
                    .expect("no holder panics")
                    .push((index, result));
            });
        }
    });
    let mut results = results.into_inner().expect("no holder panics");
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
