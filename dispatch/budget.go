package dispatch

import (
	"crocuslug/ident"
	"crocuslug/retry"
)

// retryBudget returns the retry budget of a service and creates it if needed.
func (d *Dispatcher) retryBudget(s ident.Service) *retry.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[s]
	if !ok {
		b = retry.New(d.budget, d.random)
		d.budgets[s] = b
	}
	return b
}

// SetRetryBurst replaces the burst of the retry budgets of all services.
func (d *Dispatcher) SetRetryBurst(burst float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Burst = burst
	for _, b := range d.budgets {
		b.SetBurst(burst)
	}
}

// RetryBurst returns the burst of the retry budgets.
func (d *Dispatcher) RetryBurst() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Burst
}
