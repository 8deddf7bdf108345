//! A budget that keeps retries a small part of the traffic.

/// What a budget allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// The retries that each success earns.
    pub earned: f64,
    /// The most that may be saved up.
    pub most: f64,
    /// What there is to begin with.
    pub start: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            earned: 0.1,
            most: 50.0,
            start: 10.0,
        }
    }
}

/// Retries that may be made now.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    settings: RetrySettings,
    level: f64,
}

impl RetryBudget {
    pub(crate) fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            level: settings.start,
        }
    }

    /// Takes other settings; what was saved beyond them is lost.
    pub(crate) fn set(&mut self, settings: RetrySettings) {
        self.settings = settings;
        self.level = self.level.min(settings.most);
    }

    pub(crate) fn on_success(&mut self) {
        self.level = (self.level + self.settings.earned).min(self.settings.most);
    }

    pub(crate) fn take(&mut self) -> bool {
        let ok = self.level >= 1.0;
        if ok {
            self.level -= 1.0;
        }
        ok
    }
}
