package trial

import (
	"container/heap"
	"time"
)

type (
	// scheduled is something to do at a time.
	scheduled struct {
		at    time.Duration
		order uint64
		do    func()
	}

	// queue is a heap by time, then by order of scheduling.
	queue []*scheduled
)

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an element for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(*scheduled)) }

// Pop takes the last element for container/heap.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// at schedules something for a time.
func (t *Trial) at(when time.Duration, do func()) {
	t.order++
	heap.Push(&t.queue, &scheduled{max(when, t.now), t.order, do})
}

// after schedules something for later.
func (t *Trial) after(d time.Duration, do func()) { t.at(t.now+d, do) }

// every schedules something over and over.
func (t *Trial) every(first, step time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		t.after(step, again)
	}
	t.after(first, again)
}
