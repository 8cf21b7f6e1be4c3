package membudget

import (
	"context"
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The property tests draw the same cases in every run. Other seeds are tried with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

// Whatever holders do, they never hold more than the limit together, and what they release is free again.
func TestHoldersNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 100).Draw(t, "limit")
		b := New(limit)
		var held []*Reservation
		sum := func() (n int64) {
			for _, r := range held {
				n += r.Bytes()
			}
			return n
		}
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			n := rapid.IntRange(0, 150).Draw(t, "n")
			if len(held) > 0 && rapid.Bool().Draw(t, "existing") {
				r := held[n%len(held)]
				switch n % 3 {
				case 0:
					r.Release()
				case 1:
					r.ReduceTo(n / 2)
				default:
					moved := r.Move()
					held = append(held, &moved)
				}
				continue
			}
			free := limit - sum()
			r, ok := b.TryReserve(n)
			if want := min(int64(n), limit) <= free; ok != want {
				t.Fatalf("reserving %d of %d with %d free: got %v", n, limit, free, ok)
			}
			if ok {
				held = append(held, &r)
			}
			if sum() > limit {
				t.Fatalf("%d bytes are held, %d is the limit", sum(), limit)
			}
		}
		for _, r := range held {
			r.Release()
		}
		if _, ok := b.TryReserve(int(limit)); !ok {
			t.Fatal("after all were released the budget is not free")
		}
	})
}

func TestReserveWaitsForRelease(t *testing.T) {
	b := New(10)
	first, _ := b.TryReserve(8)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := b.Reserve(ended, 3); err != context.Canceled {
		t.Errorf("got %v, want the context's error", err)
	}
	got := make(chan Reservation)
	go func() {
		r, err := b.Reserve(t.Context(), 20) // more than there is: all of it
		if err != nil {
			t.Error(err)
		}
		got <- r
	}()
	first.Release()
	if r := <-got; r.Bytes() != 10 || r.Budget() != b {
		t.Errorf("got %+v, want the whole budget", r)
	}
}
