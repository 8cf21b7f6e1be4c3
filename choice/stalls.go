package choice

import "time"

// Stall is a time in which the process did not run.
type Stall struct {
	From time.Duration // when it is last known to have run before
	To   time.Duration // when it is first known to have run after
}

const (
	// shortestStall is how long the heartbeat of the process is missing, at least, in a stall.
	shortestStall = 50 * time.Millisecond

	// stallRelevance is for how long after a stall input may be read that arrived within it.
	stallRelevance = time.Second
)

// StallWatch notices stalls of the process from a heartbeat that is missing. Its zero value has had no heartbeat and
// notices none.
type StallWatch struct {
	lastBeat time.Duration
	latest   Stall
}

// Beat handles a heartbeat, which comes at each timer event.
func (w *StallWatch) Beat(now time.Duration) {
	w.latest = w.Latest(now)
	w.lastBeat = now
}

// Latest returns the latest stall, which may have ended just now. Its zero value stands for none.
func (w *StallWatch) Latest(now time.Duration) Stall {
	if w.lastBeat > 0 && now-w.lastBeat >= shortestStall {
		return Stall{From: w.lastBeat, To: now}
	}
	return w.latest
}

// InputArrival is when input that was read had arrived.
type InputArrival struct {
	Earliest time.Duration // no byte of it had arrived before
	Newest   time.Duration // its last byte had arrived by then
}

// InputOrigin is what tells when input had arrived that is read now.
type InputOrigin struct {
	Stall     Stall         // the latest one
	DrainedAt time.Duration // when all input before it had been read, or LongPast
	NewestAt  time.Duration // when the last byte of the connection arrived; now if that is not known
	IsLast    bool          // nothing waits behind the input
}

// MayHaveWaited reports whether the input may have arrived during the latest stall.
func (o InputOrigin) MayHaveWaited(now time.Duration) bool {
	return o.Stall.To > 0 && now-o.Stall.To < stallRelevance && o.DrainedAt < o.Stall.To
}

// Arrival returns when the input had arrived. Input that is read as it comes has arrived now. During a stall it waits, and
// its clients' time runs: the earliest possible time is taken, so that nothing is answered, and no server told, too late.
func (o InputOrigin) Arrival(now time.Duration) InputArrival {
	if !o.MayHaveWaited(now) {
		return InputArrival{Earliest: now, Newest: now}
	}
	earliest := min(max(o.Stall.From, o.DrainedAt), o.NewestAt)
	if !o.IsLast {
		return InputArrival{Earliest: earliest, Newest: earliest}
	}
	return InputArrival{Earliest: earliest, Newest: o.NewestAt}
}
