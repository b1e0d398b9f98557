package gateway

import (
	"sync"
	"time"
)

// Budget limits the retries to one service, summed over all boxes.
type Budget struct {
	// Ratio is the number of retries that each first attempt allows.
	Ratio float64
	// Slack is the number of further retries allowed in each window.
	Slack float64
	// Window is the time span over which attempts are counted.
	Window time.Duration
}

const (
	// budgetShare is the used share of the budget. Boxes join and leave, and retries that a box
	// made under its former share still count, hence the margin.
	budgetShare = 0.7
	// windowSteps is the number of buckets in a window.
	windowSteps = 10
)

// budgets holds this box's share of the retry budget, by service.
type budgets struct {
	budget Budget
	boxes  func() int

	mu     sync.Mutex
	byPool map[string]*window
}

func newBudgets(b Budget, boxes func() int) *budgets {
	return &budgets{budget: b, boxes: boxes, byPool: map[string]*window{}}
}

// window counts first attempts and retries in a ring of buckets.
type window struct {
	step    int64 // number of the newest bucket
	firsts  [windowSteps]int
	retries [windowSteps]int
}

func (w *window) advance(step int64) {
	for n := min(step-w.step, windowSteps); n > 0; n-- {
		i := (step - n + 1) % windowSteps
		w.firsts[i], w.retries[i] = 0, 0
	}
	w.step = max(w.step, step)
}

func sum(list [windowSteps]int) (n int) {
	for _, v := range list {
		n += v
	}
	return n
}

func (b *budgets) windowFor(pool string) *window {
	w := b.byPool[pool]
	if w == nil {
		w = &window{}
		b.byPool[pool] = w
	}
	w.advance(time.Now().UnixNano() / (int64(b.budget.Window) / windowSteps))
	return w
}

// recordFirst counts the first attempt of a request to a service.
func (b *budgets) recordFirst(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowFor(pool)
	w.firsts[w.step%windowSteps]++
}

// takeRetry takes one retry from the budget and reports whether one was left.
func (b *budgets) takeRetry(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowFor(pool)
	allowed := budgetShare * (b.budget.Ratio*float64(sum(w.firsts)) + b.budget.Slack/float64(b.boxes()))
	if float64(sum(w.retries)+1) > allowed {
		return false
	}
	w.retries[w.step%windowSteps]++
	return true
}
