// Package retry decides whether an attempt may be retried or hedged. A retry
// budget bounds the retries of all requests with the same key, for example the same
// service, so that retries don't overload a service that is already failing.
package retry

import (
	"maps"
	"sync"
	"time"
)

const (
	// budgetBurst is the number of retries in a full budget.
	budgetBurst = 10
	// budgetPerSecond is the number of retries added per second, which allows a
	// caller with few requests an occasional retry.
	budgetPerSecond = 0.2
	// maxBudgets bounds the number of keys. At the bound, budgets unused for
	// budgetIdleTimeout are evicted first, and then arbitrary ones until
	// budgetsAfterEviction remain.
	maxBudgets           = 4096
	budgetIdleTimeout    = 10 * time.Minute
	budgetsAfterEviction = maxBudgets * 3 / 4
)

// Budget is a retry budget: each first attempt deposits a fraction of a retry, and
// each retry or hedge withdraws one. The zero value is a full budget.
type Budget struct {
	// Ratio is the number of retries that each first attempt deposits.
	Ratio float64

	spent      float64
	refilledAt time.Time
}

// Deposit adds Ratio of a retry to the budget. Callers call it for each first attempt.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.spent = max(0, b.spent-b.Ratio)
}

// Withdraw takes one retry from the budget, or returns false if less than one is
// left.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.spent+1 > budgetBurst {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.spent = max(0, b.spent-now.Sub(b.refilledAt).Seconds()*budgetPerSecond)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// Budgets holds a Budget for each key. It is safe for concurrent use.
type Budgets[K comparable] struct {
	mu      sync.Mutex
	budgets map[K]*Budget
}

// Deposit adds ratio of a retry to the budget of key. Callers call it for each first
// attempt.
func (b *Budgets[K]) Deposit(now time.Time, key K, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, key, ratio).Deposit(now)
}

// Withdraw takes one retry from the budget of key, or returns false if less than
// one is left.
func (b *Budgets[K]) Withdraw(now time.Time, key K, ratio float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(now, key, ratio).Withdraw(now)
}

func (b *Budgets[K]) budget(now time.Time, key K, ratio float64) *Budget {
	budget, ok := b.budgets[key]
	if !ok {
		b.evict(now)
		budget = &Budget{}
		b.budgets[key] = budget
	}
	budget.Ratio = ratio
	return budget
}

func (b *Budgets[K]) evict(now time.Time) {
	if b.budgets == nil {
		b.budgets = make(map[K]*Budget)
	}
	if len(b.budgets) < maxBudgets {
		return
	}
	maps.DeleteFunc(b.budgets, func(_ K, budget *Budget) bool { return now.Sub(budget.refilledAt) > budgetIdleTimeout })
	for key := range b.budgets {
		if len(b.budgets) <= budgetsAfterEviction {
			return
		}
		delete(b.budgets, key)
	}
}
