package trial

import (
	"container/heap"
	"time"
)

type (
	// scheduledEvent is a function to be called at a point in virtual time.
	scheduledEvent struct {
		at    time.Duration
		order uint64 // position in the order of scheduling
		do    func()
	}

	// eventQueue is a heap of events, ordered by their time and, at equal times, by the order
	// in which they were scheduled.
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

// at schedules a call of do at a point in virtual time, or at the current time if that point
// has passed.
func (t *Trial) at(when time.Duration, do func()) {
	t.lastEventOrder++
	heap.Push(&t.events, &scheduledEvent{max(when, t.now), t.lastEventOrder, do})
}

// after schedules a call of do after a delay in virtual time.
func (t *Trial) after(d time.Duration, do func()) { t.at(t.now+d, do) }

// every schedules calls of do: the first after a delay, the others at an interval.
func (t *Trial) every(delay, interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		t.after(interval, again)
	}
	t.after(delay, again)
}
