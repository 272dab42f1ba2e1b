//! A limit on memory that several holders share. Pure state without I/O.
//!
//! What a holder reserves is the capacity of its buffers and not the length of their content, because the
//! capacity is what the process has allocated.

use std::sync::Arc;

use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A number of bytes that all grants of the budget share. Clones refer to the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// One permit for each byte that is not granted.
    free: Arc<Semaphore>,
}

/// Bytes of a budget that their holder may allocate. They are given back when the grant is dropped.
#[derive(Debug)]
pub struct MemoryGrant {
    budget: MemoryBudget,
    /// `None` while the grant has no bytes.
    permit: Option<OwnedSemaphorePermit>,
}

/// The error of a grant that would exceed its budget.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("memory budget exceeded")]
pub struct BudgetExceeded;

impl MemoryBudget {
    /// Creates a budget of this many bytes, none of which is granted.
    pub fn new(bytes: u64) -> MemoryBudget {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX).min(Semaphore::MAX_PERMITS);
        MemoryBudget { free: Arc::new(Semaphore::new(bytes)) }
    }

    /// Returns a grant without bytes, which can grow.
    pub fn empty_grant(&self) -> MemoryGrant {
        MemoryGrant { budget: self.clone(), permit: None }
    }

    /// Returns the number of bytes that are not granted.
    pub fn free_bytes(&self) -> usize {
        self.free.available_permits()
    }
}

impl MemoryGrant {
    /// Adds bytes to the grant. With an error, the grant keeps the bytes that it had.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let bytes = u32::try_from(bytes).map_err(|_| BudgetExceeded)?;
        let free = self.budget.free.clone();
        let added = free.try_acquire_many_owned(bytes).map_err(|_| BudgetExceeded)?;
        match &mut self.permit {
            Some(permit) => permit.merge(added),
            None => self.permit = Some(added),
        }
        Ok(())
    }
}
