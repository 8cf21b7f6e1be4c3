// Package membudget limits how much memory data of many connections may occupy together.
package membudget

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// UnknownMemory is the memory of a process, in bytes, that is assumed if the platform does not state it.
const UnknownMemory = 64 << 20

// Budget is an amount of memory for all holders of one kind of data. It is safe for concurrent use.
type Budget struct {
	limit int64
	free  *semaphore.Weighted
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, free: semaphore.NewWeighted(limit)} }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// TryReserve reserves n bytes, or the whole budget if that is less. It returns false if they are not free, or if others
// wait for them.
func (b *Budget) TryReserve(n int) (Reservation, bool) {
	r := b.reservation(n)
	if !b.free.TryAcquire(r.bytes) {
		return Reservation{}, false
	}
	return r, true
}

// Reserve is like TryReserve but waits until the bytes are free. Those who wait get them in order. The error is that of
// the context, if it ends first.
func (b *Budget) Reserve(ctx context.Context, n int) (Reservation, error) {
	r := b.reservation(n)
	if err := b.free.Acquire(ctx, r.bytes); err != nil {
		return Reservation{}, err
	}
	return r, nil
}

func (b *Budget) reservation(n int) Reservation {
	return Reservation{budget: b, bytes: min(int64(n), b.limit)}
}

// Reservation is a reserved part of a budget. The zero value reserves nothing. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Budget returns the budget that the reservation is part of, nil if nothing is reserved.
func (r *Reservation) Budget() *Budget { return r.budget }

// Bytes returns the size of the reservation in bytes.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Release gives everything back.
func (r *Reservation) Release() {
	r.ReduceTo(0)
	r.budget = nil
}

// ReduceTo gives back all but n bytes.
func (r *Reservation) ReduceTo(n int) {
	if surplus := r.bytes - int64(n); surplus > 0 {
		r.budget.free.Release(surplus)
		r.bytes -= surplus
	}
}

// Move returns the reservation and leaves an empty one behind.
func (r *Reservation) Move() Reservation {
	moved := *r
	*r = Reservation{}
	return moved
}
