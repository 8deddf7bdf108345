//! Keeps this daemon's shares of what all daemons may use together up to date: the allowances, the
//! upstreams' limited rates and the retry budget.

use crate::state::Gateway;

/// Time after which a share is computed anew before it is used. It is that for which the reports of
/// other daemons count; a running daemon updates its shares more often.
const MAX_AGE_MS: u64 = 700;

impl Gateway {
    /// Updates the shares by what is known of the other daemons now.
    pub(crate) fn update_shares(&self) {
        self.shares_updated.set(self.now());
        self.share_budget();
        self.share_allowances();
        self.share_permits();
    }

    /// Updates the shares if they are outdated: this daemon was suspended, and other daemons may have
    /// taken over its share since.
    pub(crate) fn update_old_shares(&self) {
        if self.now().since(self.shares_updated.get()) >= MAX_AGE_MS {
            self.update_shares();
        }
    }
}
