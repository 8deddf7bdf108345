//! Records which daemons send requests to engines that asked them for rest.

/// The time after the answer from which requests count, and the number of them that is allowed
/// until the rest ends.
const NOTICE_MS: u64 = 500;
const ALLOWED: usize = 2;

#[derive(Debug)]
struct Rest {
    engine: usize,
    daemon: usize,
    from: u64,
    until: u64,
    arrivals: usize,
}

/// The answers that ask a daemon for rest, and the requests that reach the engine in it.
#[derive(Debug, Default)]
pub struct Rests {
    rests: Vec<Rest>,
    excess: Vec<String>,
    asked: usize,
}

impl Rests {
    pub fn on_answer(&mut self, engine: usize, daemon: usize, now: u64, millis: u64) {
        self.asked += 1;
        self.rests.retain(|r| now < r.until);
        self.rests.push(Rest {
            engine,
            daemon,
            from: now + NOTICE_MS,
            until: now + millis,
            arrivals: 0,
        });
    }

    /// Records a request that reaches any engine.
    pub fn on_arrival(&mut self, engine: usize, daemon: usize, now: u64) {
        for rest in &mut self.rests {
            let same = rest.engine == engine && rest.daemon == daemon;
            if !same || !(rest.from..rest.until).contains(&now) {
                continue;
            }
            rest.arrivals += 1;
            if rest.arrivals > ALLOWED {
                let count = rest.arrivals;
                let text = format!("{engine} got {count} requests from {daemon} in its rest");
                self.excess.push(text);
            }
        }
    }

    /// Excuses a daemon that was restarted, stalled or cut off.
    pub fn excuse(&mut self, daemon: usize) {
        self.rests.retain(|r| r.daemon != daemon);
    }

    /// The number of answers that asked for rest.
    pub fn asked(&self) -> usize {
        self.asked
    }

    /// The first excess of requests in a rest.
    pub fn excess(&self) -> Option<&str> {
        self.excess.first().map(String::as_str)
    }
}
