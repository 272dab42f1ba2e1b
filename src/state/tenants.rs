//! The running accounts of tenants against their quotas.

use std::time::Duration;

/// A token bucket in messages.
struct TenantAccount {
    balance: f64,
    updated_at: Duration,
}

/// The accounts of all tenants with a quota, in the order of the settings.
pub(crate) struct TenantTokenBuckets(Vec<TenantAccount>);

impl TenantTokenBuckets {
    /// Empty accounts for so many tenants.
    pub(crate) fn new(tenants: usize, now: Duration) -> TenantTokenBuckets {
        let empty = || TenantAccount { balance: 0.0, updated_at: now };
        TenantTokenBuckets(std::iter::repeat_with(empty).take(tenants).collect())
    }

    /// Lets a tenant's balance grow by so many messages a second, up to a maximum, and takes one message from
    /// it; says whether the balance covered that.
    pub(crate) fn try_take_token(
        &mut self,
        tenant: usize,
        per_second: f64,
        most: f64,
        now: Duration,
    ) -> bool {
        let account = &mut self.0[tenant];
        let passed = now.saturating_sub(account.updated_at).as_secs_f64();
        account.balance = (account.balance + per_second * passed).min(most);
        account.updated_at = now;
        let covered = account.balance >= 1.0;
        if covered {
            account.balance -= 1.0;
        }
        covered
    }
}
