//! Budgets of programs: limit, spending and reservations.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// An amount of the resources that budgets limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Tokens, prompt and answer together.
    pub tokens: u64,
    /// Calls.
    pub calls: u64,
}

impl Amount {
    /// Creates the amount of one call with `tokens` tokens.
    pub const fn one_call(tokens: u64) -> Self {
        Self { tokens, calls: 1 }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
        }
    }

    fn fits(self, limit: Self) -> bool {
        self.tokens <= limit.tokens && self.calls <= limit.calls
    }

    /// Returns the minimum of both amounts, field by field.
    #[must_use]
    pub fn at_most(self, other: Self) -> Self {
        Self {
            tokens: self.tokens.min(other.tokens),
            calls: self.calls.min(other.calls),
        }
    }
}

/// A reservation would exceed the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "{} tokens and {} calls are left, the call needs {} tokens; open the program with a larger budget",
    left.tokens, left.calls, need.tokens
)]
pub struct BudgetError {
    /// What the call needs.
    pub need: Amount,
    /// What remains of the budget, neither spent nor reserved.
    pub left: Amount,
}

/// The budget of a program; the spending of its sub-agents counts towards it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    limit: Amount,
    spent: Amount,
    reserved: Amount,
}

impl Budget {
    /// Creates a budget with nothing spent or reserved.
    pub fn new(limit: Amount) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns the limit on total spending.
    pub fn limit(&self) -> Amount {
        self.limit
    }

    /// Returns the amount spent.
    pub fn spent(&self) -> Amount {
        self.spent
    }

    /// Returns the amount that is neither spent nor reserved.
    pub fn left(&self) -> Amount {
        self.limit.minus(self.spent.plus(self.reserved))
    }

    /// Checks whether `need` can be reserved.
    ///
    /// # Errors
    ///
    /// Returns a [`BudgetError`] if spending and reservations would exceed the
    /// limit.
    pub fn check(&self, need: Amount) -> Result<(), BudgetError> {
        if self.spent.plus(self.reserved).plus(need).fits(self.limit) {
            return Ok(());
        }
        Err(BudgetError {
            need,
            left: self.left(),
        })
    }

    /// Reserves `need`, which must have passed [`Budget::check`].
    pub fn reserve(&mut self, need: Amount) {
        self.reserved = self.reserved.plus(need);
    }

    /// Replaces a reservation of `need` by spending of `used`. At most the
    /// reservation is charged: a call is never charged more than it was
    /// granted.
    pub fn settle(&mut self, need: Amount, used: Amount) {
        self.reserved = self.reserved.minus(need);
        self.spent = self.spent.plus(used.at_most(need));
    }
}
