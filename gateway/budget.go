package gateway

import (
	"sync"
	"time"
)

// Budget bounds the repeats to one service, over all boxes together.
type Budget struct {
	// Ratio is how many repeats a request earns.
	Ratio float64
	// Slack is how many repeats are allowed besides in each window.
	Slack float64
	// Window is the span that is counted.
	Window time.Duration
}

const (
	// budgetShare is the part of the budget that is used: boxes come and go, and
	// what they spent before counts.
	budgetShare = 0.7
	// budgetSteps is how many parts a window is counted in.
	budgetSteps = 10
)

// budgets keep this box's part of the budget for each service.
type budgets struct {
	budget Budget
	boxes  func() int

	mu   sync.Mutex
	pool map[string]*window
}

func newBudgets(b Budget, boxes func() int) *budgets {
	return &budgets{budget: b, boxes: boxes, pool: map[string]*window{}}
}

// window counts firsts and repeats of the last span in steps.
type window struct {
	at      int64 // number of the newest step
	firsts  [budgetSteps]int
	repeats [budgetSteps]int
}

func (w *window) turn(step int64) {
	for n := min(step-w.at, budgetSteps); n > 0; n-- {
		i := (step - n + 1) % budgetSteps
		w.firsts[i], w.repeats[i] = 0, 0
	}
	w.at = max(w.at, step)
}

func sum(list [budgetSteps]int) (n int) {
	for _, v := range list {
		n += v
	}
	return n
}

func (b *budgets) of(pool string) *window {
	w := b.pool[pool]
	if w == nil {
		w = &window{}
		b.pool[pool] = w
	}
	w.turn(time.Now().UnixNano() / (int64(b.budget.Window) / budgetSteps))
	return w
}

// first counts a request for a service.
func (b *budgets) first(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(pool)
	w.firsts[w.at%budgetSteps]++
}

// repeat takes one repeat off the budget, if there is one.
func (b *budgets) repeat(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(pool)
	most := budgetShare * (b.budget.Ratio*float64(sum(w.firsts)) + b.budget.Slack/float64(b.boxes()))
	if float64(sum(w.repeats)+1) > most {
		return false
	}
	w.repeats[w.at%budgetSteps]++
	return true
}
