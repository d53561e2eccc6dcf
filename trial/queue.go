package trial

import (
	"container/heap"
	"time"
)

type (
	// scheduledEvent is a function to be called at a point in virtual time.
	scheduledEvent struct {
		at    time.Duration
		order uint64
		do    func()
	}

	// eventQueue is a heap of events, ordered by time and then by the order of scheduling.
	eventQueue []*scheduledEvent
)

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// at schedules a call of do at a point in virtual time, or now if that has passed.
func (t *Trial) at(when time.Duration, do func()) {
	t.lastOrder++
	heap.Push(&t.events, &scheduledEvent{max(when, t.now), t.lastOrder, do})
}

// after schedules a call of do after a delay.
func (t *Trial) after(d time.Duration, do func()) { t.at(t.now+d, do) }

// every schedules a call of do after the delay first and then at the interval step.
func (t *Trial) every(first, step time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		t.after(step, again)
	}
	t.after(first, again)
}
