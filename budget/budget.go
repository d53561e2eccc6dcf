// Package budget limits the memory and the connections that clients make a host hold. It handles crowds of clients that send heads of many lines
// and hold them open, send bodies slowly, read long answers slowly, or open more connections than the host has descriptors.
//
// What a client holds is unsettled while the client decides how long it is held: a head or body that is being read, and an answer that is being
// written. At the bound the connections with the most bytes held for the longest time, in byte-seconds, are ended first. What a request holds
// while it is at a target is settled, and not ended. The package has no clock and no socket.
package budget

import (
	"math"
	"sync"
	"time"
)

type (
	// A Part is what a connection holds memory for.
	Part uint8

	// Limits bound what all clients hold together. A limit of 0 means none.
	Limits struct {
		Memory      int64 // bytes
		Connections int
		Requests    int // requests at once, each of which needs a descriptor for its target
	}

	// A Usage is what all clients hold together.
	Usage struct {
		Memory      int64 // bytes
		Connections int
		Requests    int
	}

	// A Budget counts what the clients of a host hold.
	Budget struct {
		limits Limits

		mu       sync.Mutex
		used     Usage
		ending   int64 // bytes that connections hold which have been ended and not yet closed
		accounts map[*Account]struct{}

		searchAfter time.Time // time before which costliest is not called again, as it has found none
	}

	// An Account is what one connection holds. A nil Account holds nothing and has no limits.
	Account struct {
		budget *Budget
		end    func() // ends the connection; called in a goroutine of its own

		held      [partCount]int64 // bytes
		since     time.Time        // from which the unsettled parts, or an idle connection, are held
		requests  int
		idle      bool  // it has had a request, and none is being read
		lingering bool  // the server has closed it
		ended     bool  // end has been called
		ending    int64 // bytes of Budget.ending
		closed    bool
	}
)

// The parts. All but Settled are unsettled.
const (
	Head Part = iota
	Body
	Answer
	Settled
	partCount
)

// Costs in bytes of what is held.
const (
	ConnectionCost = 16 << 10 // stack, read buffer and write buffer of a connection
	RequestCost    = 32 << 10 // buffers and state of a request at its target

	// HeadByteCost is for the bytes of a head as they are read, and their copies in the fields of the request and of its forwarded copy.
	HeadByteCost = 3

	// HeadLineCost is for an entry of the map of fields, twice, and for the garbage that the growth of the map leaves: parsing and copying a head of
	// 300 to 3,000 short lines allocates 109 to 286 bytes a line.
	HeadLineCost = 320
)

const (
	// minHold is how long a part is held before the connection may be ended for it. Conforming clients send a head, and read an answer of
	// 1 MiB, in less.
	minHold = 250 * time.Millisecond

	// searchPause is the time between two searches for a connection to end after one without a result. Each visits all connections
	// under the lock that every read of a head needs.
	searchPause = 10 * time.Millisecond

	// reserveFraction is the part of the memory that is only for holds of at most smallHold. What ended connections hold is free only when their
	// handlers have returned; until then ordinary requests are admitted from the reserve.
	reserveFraction = 8
	smallHold       = 64 << 10

	// overrunFraction is the part of the connections that may be open beyond the limit while others are being closed.
	overrunFraction = 8
)

// HostLimits returns the limits of a host with the given memory in bytes and number of descriptors; 0 means no limit. Five sixteenths of the memory are for
// clients: the program takes a quarter of a small machine, and the collector needs room for garbage. A third of the descriptors remain for
// targets, peers, and files.
func HostLimits(memory int64, descriptors int) Limits {
	l := Limits{Memory: memory * 5 / 16}
	if descriptors > 0 {
		l.Connections = max(descriptors*2/3, 1)
		l.Requests = max(descriptors-l.Connections-l.Connections/overrunFraction-reservedDescriptors, 1)
	}
	return l
}

// reservedDescriptors is the number of descriptors for listeners, operators, peers and the metadata store.
const reservedDescriptors = 32

// NewBudget returns a Budget that nothing is held of.
func NewBudget(l Limits) *Budget { return &Budget{limits: l, accounts: map[*Account]struct{}{}} }

// Usage returns what all clients hold together.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Crowded reports whether over half of the connections are in use.
func (b *Budget) Crowded() bool {
	return b != nil && b.limits.Connections > 0 && b.Usage().Connections > b.limits.Connections/2
}

// Open returns the account of a new connection, which end ends. It returns nil if the connection must be refused. At the limit it ends the connection
// that has waited longest for a request. A nil Budget has no limits, and its accounts are nil.
func (b *Budget) Open(now time.Time, end func()) (a *Account, ok bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.limits.Connections; n > 0 && b.used.Connections >= n {
		victim := b.oldestWaiting(now)
		if victim == nil || b.used.Connections >= n+n/overrunFraction {
			return nil, false
		}
		b.endAccount(victim)
	}
	a = &Account{budget: b, end: end, since: now}
	if !b.makeRoom(a, ConnectionCost, now) {
		return nil, false
	}
	b.accounts[a] = struct{}{}
	b.used.Connections++
	b.used.Memory += ConnectionCost
	return a, true
}

// Hold sets the bytes that the connection holds for a part. It reports false, and changes nothing, if there is no room: then the connection itself has
// the most byte-seconds, or no other can be ended.
func (a *Account) Hold(p Part, bytes int64, now time.Time) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.ended {
		return bytes <= a.held[p]
	}
	if p != Settled && a.unsettled() == 0 {
		a.since, a.idle = now, false
	}
	added := bytes - a.held[p]
	if added > 0 && !b.makeRoom(a, added, now) {
		return false
	}
	a.held[p] = bytes
	b.used.Memory += added
	return true
}

// Settle counts what the connection holds as settled: the client no longer decides how long it is held.
func (a *Account) Settle() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.idle = false
	for p := range Settled {
		a.held[Settled] += a.held[p]
		a.held[p] = 0
	}
}

// Unsettle counts settled bytes as held for a part from now on, as the client decides how long they are held.
func (a *Account) Unsettle(p Part, bytes int64, now time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.unsettled() == 0 {
		a.since = now
	}
	bytes = min(bytes, a.held[Settled])
	a.held[Settled] -= bytes
	a.held[p] += bytes
}

// Wait frees all but the connection itself, which waits for its next request.
func (a *Account) Wait(now time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.free()
		a.idle, a.since = true, now
	}
}

// Linger marks a connection that the server has closed and that only waits for its client to close it.
func (a *Account) Linger() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.free()
		a.lingering = true
	}
}

// Begin counts a request of the connection. It reports false if there are too many at once, or no room.
func (a *Account) Begin(now time.Time) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.limits.Requests; n > 0 && b.used.Requests >= n || a.ended || a.closed || !b.makeRoom(a, RequestCost, now) {
		return false
	}
	a.requests++
	a.held[Settled] += RequestCost
	b.used.Requests++
	b.used.Memory += RequestCost
	return true
}

// End ends the count of a request that Begin has counted.
func (a *Account) End() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.requests > 0 {
		a.requests--
		a.budget.used.Requests--
	}
}

// Close closes the account when its connection is closed. Later calls do nothing.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.free()
	delete(b.accounts, a)
	b.used.Connections--
	b.used.Memory -= ConnectionCost
	b.used.Requests -= a.requests
	a.requests = 0
}

// free frees all that is held beside the connection. The caller holds the budget's mu.
func (a *Account) free() {
	for p := range a.held {
		a.budget.used.Memory -= a.held[p]
		a.held[p] = 0
	}
	a.budget.ending -= a.ending
	a.ending = 0
}

// unsettled returns the bytes that the client decides how long to hold.
func (a *Account) unsettled() int64 { return a.held[Head] + a.held[Body] + a.held[Answer] }

// makeRoom ends connections, those with the most byte-seconds first, so that n more bytes for a will fit. It reports whether they fit now. The
// caller holds mu.
func (b *Budget) makeRoom(a *Account, n int64, now time.Time) bool {
	if b.limits.Memory <= 0 {
		return true
	}
	goal := b.limits.Memory - b.limits.Memory/reserveFraction
	for b.used.Memory-b.ending+n > goal && !now.Before(b.searchAfter) {
		victim := b.costliest(now)
		if victim == nil || victim == a {
			b.searchAfter = now.Add(searchPause)
			break
		}
		b.endAccount(victim)
	}
	if n <= smallHold {
		return b.used.Memory+n <= b.limits.Memory
	}
	return b.used.Memory+n <= goal
}

// costliest returns the account with the most unsettled byte-seconds, or nil. The caller holds mu.
func (b *Budget) costliest(now time.Time) *Account {
	var worst *Account
	most := 0.0
	for a := range b.accounts {
		held := now.Sub(a.since)
		if cost := float64(a.unsettled()) * held.Seconds(); cost > most && held >= minHold && !a.ended && !a.lingering {
			worst, most = a, cost
		}
	}
	return worst
}

// oldestWaiting returns the account to end for a new connection: one that the server has closed, else the one that has sent no
// complete head for the longest time, else the one that has been idle longest. The caller holds mu.
func (b *Budget) oldestWaiting(now time.Time) *Account {
	var oldest *Account
	longest := -math.MaxFloat64
	for a := range b.accounts {
		age := now.Sub(a.since)
		rank := age.Seconds()
		switch {
		case a.ended || a.held[Settled] > 0 || a.requests > 0 || age < minHold && !a.lingering:
			continue
		case a.lingering:
			rank += 2 * idleRank
		case a.idle:
			rank -= idleRank
		}
		if rank > longest {
			oldest, longest = a, rank
		}
	}
	return oldest
}

// idleRank is more than the seconds for which a connection lasts.
const idleRank = 1e9

// endAccount ends the connection of the account. What it holds is freed when the connection is closed. The caller holds mu.
func (b *Budget) endAccount(a *Account) {
	a.ended = true
	for _, n := range a.held {
		a.ending += n
	}
	b.ending += a.ending
	go a.end()
}
