//! The table of all settings with their flags and environment variables. A test compares
//! `docs/CONFIGURATION.md` with it.

/// One setting.
#[derive(Debug, Clone, Copy)]
pub struct Flag {
    /// The long flag.
    pub name: &'static str,
    /// The default value; none if the setting is required.
    pub default: Option<&'static str>,
    /// The description, with the unit.
    pub help: &'static str,
}

impl Flag {
    /// Returns the environment variable for this flag.
    #[must_use]
    pub fn variable(&self) -> String {
        let name = self.name.replace('-', "_").to_uppercase();
        format!("SHALELINE_{name}")
    }

    const fn new(name: &'static str, default: Option<&'static str>, help: &'static str) -> Self {
        Self {
            name,
            default,
            help,
        }
    }

    /// All settings of the daemon.
    pub const ALL: &'static [Self] = &[
        Self::new("instance", None, "name of this instance"),
        Self::new("centre", None, "data centre of this instance"),
        Self::new("listen", None, "IP:PORT for callers"),
        Self::new("admin-listen", None, "IP:PORT for operators"),
        Self::new("peer-listen", None, "IP:PORT for other daemons"),
        Self::new("platform", None, "IP:PORT of the platform's log and list"),
        Self::new(
            "peer-secret",
            None,
            "secret that the daemons share, 16 characters or more",
        ),
        Self::new(
            "admin-hash",
            Some(""),
            "hash of a token that may do everything, for the first steps",
        ),
        Self::new(
            "seeds",
            Some(""),
            "peer addresses to start from while the list is away, by commas",
        ),
        Self::new(
            "cell",
            Some("main"),
            "cell of engines that this daemon plans for",
        ),
        Self::new("workers", Some("2"), "threads that serve callers"),
        Self::new(
            "once-shards",
            Some("4"),
            "shards of the at-most-once journal; the same everywhere",
        ),
        Self::new(
            "once-wait",
            Some("1000"),
            "longest wait for the log before a keyed request is refused, ms",
        ),
        Self::new(
            "queue",
            Some("2000"),
            "requests that may wait for one route",
        ),
        Self::new(
            "stall",
            Some("2000"),
            "silence after which an upstream counts as hanging, ms",
        ),
        Self::new(
            "body-limit",
            Some("1048576"),
            "largest body of a request, bytes",
        ),
        Self::new("token-limit", Some("4096"), "most tokens of an answer"),
        Self::new(
            "log-rate",
            Some("300"),
            "appends a second for all daemons together",
        ),
        Self::new(
            "lag",
            Some("5000"),
            "time behind the others' configuration after which nothing is admitted, ms",
        ),
        Self::new(
            "snapshot-records",
            Some("2000"),
            "records after which a snapshot is written",
        ),
        Self::new(
            "snapshot-age",
            Some("600000"),
            "age after which a snapshot is written again, ms; under half the log's retention",
        ),
        Self::new(
            "store-rate",
            Some("2"),
            "loads a second that the weight store allows",
        ),
        Self::new(
            "store-at-once",
            Some("15"),
            "loads at once that the weight store allows",
        ),
        Self::new(
            "engine-rate",
            Some("2000"),
            "tokens a second that an engine generates, for the plan",
        ),
        Self::new(
            "move-weight",
            Some("2"),
            "cost of a move, in seconds of an engine's work",
        ),
        Self::new(
            "grace",
            Some("1500"),
            "time to serve on after a stop was asked for, ms",
        ),
        Self::new(
            "stop-limit",
            Some("600000"),
            "longest wait for what is in flight at a stop, ms",
        ),
        Self::new("log-level", Some("info"), "log specification"),
    ];
}
