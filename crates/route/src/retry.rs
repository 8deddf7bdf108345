//! A budget that keeps retries a small part of the traffic.

/// The size of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// The retries that each success adds.
    pub per_success: f64,
    /// The most retries that may be saved up.
    pub max_saved: f64,
    /// The retries available at the start.
    pub initial: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            per_success: 0.1,
            max_saved: 50.0,
            initial: 10.0,
        }
    }
}

/// The retries that may be made now.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    settings: RetrySettings,
    level: f64,
}

impl RetryBudget {
    pub(crate) fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            level: settings.initial,
        }
    }

    /// Changes the settings; saved retries beyond the new maximum are lost.
    pub(crate) fn set(&mut self, settings: RetrySettings) {
        self.settings = settings;
        self.level = self.level.min(settings.max_saved);
    }

    pub(crate) fn on_success(&mut self) {
        self.level = (self.level + self.settings.per_success).min(self.settings.max_saved);
    }

    pub(crate) fn take(&mut self) -> bool {
        let ok = self.level >= 1.0;
        if ok {
            self.level -= 1.0;
        }
        ok
    }
}
