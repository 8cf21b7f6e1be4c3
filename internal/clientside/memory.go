package clientside

import (
	"context"
	"errors"
	"time"

	"gorsewell/internal/exchange"
	"gorsewell/internal/membudget"
	"gorsewell/internal/pgwire"
)

// What clients send occupies memory of three budgets, so that neither many connections nor long messages can exhaust the
// process, and long messages cannot keep out short commands:
//
//   - Each op takes the size of its statement, if that is short, and opOverhead.
//   - A long message, one that does not fit into the usual read buffer, takes longMessageCopies times its size from its
//     first bytes on. An op keeps that part until it has ended.
//   - Messages that are longer than values of the protocol need have a budget of their own.
//
// A command that gets no memory is skipped and answered with a busy reply.
const (
	// opMemoryDivisor is the part of the memory for ops with short statements.
	opMemoryDivisor = 16

	// longMessageMemoryDivisor is the part of the memory for long messages.
	longMessageMemoryDivisor = 16

	// oversizeMemoryDivisor is the part of the memory for messages that are longer than pgwire.DefaultMaxMessage.
	oversizeMemoryDivisor = 32

	// opOverhead is the memory of an op without its statement, in bytes.
	opOverhead = 2 << 10

	// longMessageCopies is how often a long message may be in memory: as read, and as the query that is being sent.
	longMessageCopies = 2

	// memoryWait is how long a long message waits for memory.
	memoryWait = 10 * firstBytesWait
)

// errNoMemory is the error for a command that was skipped.
var errNoMemory = errors.New("busy, try again")

// inputBudgets limits the memory of what clients have sent.
type inputBudgets struct {
	ops, ahead     *membudget.Budget
	long, oversize *messageBudget
}

// messageBudget limits the memory of long messages of some sizes. Its fields are guarded by the acceptor's mutex.
type messageBudget struct {
	*membudget.Budget

	// waiting is how many bytes are waited for.
	waiting int64

	// stalledEvictedAt is when stalled connections were last evicted.
	stalledEvictedAt time.Duration
}

// newInputBudgets returns the budgets of a process that may use the given number of bytes, 0 if that is not known.
func newInputBudgets(memory int64) inputBudgets {
	if memory <= 0 {
		memory = membudget.UnknownMemory
	}
	atLeast := int64(longMessageCopies * pgwire.DefaultMaxMessage)
	return inputBudgets{
		ops:      membudget.New(memory / opMemoryDivisor),
		ahead:    membudget.New(memory / readAheadMemoryDivisor),
		long:     &messageBudget{Budget: membudget.New(max(atLeast, memory/longMessageMemoryDivisor))},
		oversize: &messageBudget{Budget: membudget.New(max(atLeast, memory/oversizeMemoryDivisor))},
	}
}

// forMessage returns the budget for a long message of the given size.
func (b *inputBudgets) forMessage(size int) *messageBudget {
	if size > pgwire.DefaultMaxMessage {
		return b.oversize
	}
	return b.long
}

// ensureSpace makes room for a message of the given size at the front of the read buffer. It returns false if there is
// no memory.
func (c *conn) ensureSpace(size int) bool {
	if c.readBuffer.Holds(size) {
		return true
	}
	if !c.reserveInput(size) {
		return false
	}
	c.readBuffer.Grow(size)
	return true
}

// reserveInput reserves memory for a long message. If there is none it waits briefly.
func (c *conn) reserveInput(size int) bool {
	budget := c.acceptor.budgets.forMessage(size)
	memory, ok := budget.TryReserve(longMessageCopies * size)
	if !ok {
		memory, ok = c.awaitMemory(budget, longMessageCopies*size)
	}
	if ok {
		c.setInputMemory(memory)
	}
	return ok
}

// awaitMemory waits for memory and returns false if none becomes free in time, or if a send needs the input to be read on.
// Meanwhile it evicts connections whose own messages do not arrive.
func (c *conn) awaitMemory(budget *messageBudget, n int) (memory membudget.Reservation, ok bool) {
	a := c.acceptor
	a.addWaiting(budget, int64(n))
	defer a.addWaiting(budget, -int64(n))
	ctx, cancel := context.WithTimeout(context.Background(), memoryWait)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			if c.presence.mustDrain() {
				cancel()
				return
			}
			a.evictStalled(budget)
			select {
			case <-ctx.Done():
			case <-time.After(firstBytesWait):
			}
		}
	}()
	memory, err := budget.Reserve(ctx, n)
	return memory, err == nil
}

// addWaiting changes how many bytes of a budget are waited for.
func (a *Acceptor) addWaiting(budget *messageBudget, n int64) {
	a.mu.Lock()
	budget.waiting += n
	a.mu.Unlock()
}

// setInputMemory sets the memory that is reserved for the message that is being read.
func (c *conn) setInputMemory(memory membudget.Reservation) {
	c.acceptor.mu.Lock()
	c.inputMemory = memory
	c.acceptor.mu.Unlock()
}

// releaseInput frees the memory of a long message that has been processed, unless its op keeps it.
func (c *conn) releaseInput() {
	if c.inputMemory.Budget() == nil {
		return
	}
	c.readBuffer.Shrink()
	memory := c.inputMemory
	c.setInputMemory(membudget.Reservation{})
	memory.Release()
}

// evictStalled evicts connections that hold memory of the budget for messages of which nothing has arrived for
// firstBytesWait, those that have been quiet for longest first, until all bytes that are waited for will be free. So
// clients that stop within a long message do not keep out those that finish theirs. It does so once in firstBytesWait,
// however many wait.
func (a *Acceptor) evictStalled(budget *messageBudget) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if now-budget.stalledEvictedAt < firstBytesWait {
		return
	}
	budget.stalledEvictedAt = now
	var stalled []*conn
	for c := range a.conns {
		if c.inputMemory.Budget() == budget.Budget && !c.evicting.Load() && c.pendingReplies.Load() == 0 &&
			now-time.Duration(c.lastActivity.Load()) >= firstBytesWait {
			stalled = append(stalled, c)
		}
	}
	sortByActivity(stalled)
	needed := budget.waiting
	for _, c := range stalled {
		if needed <= 0 {
			return
		}
		needed -= c.inputMemory.Bytes()
		a.evict(c)
	}
}

// takeMemory reserves the memory of an op for its statement, which is a part of the read buffer. It returns false if
// there is none. A long statement takes the buffer over, a short one is copied.
func (c *conn) takeMemory(text []byte) (owned []byte, memory membudget.Reservation, ok bool) {
	if c.inputMemory.Budget() != nil {
		memory = c.inputMemory
		c.readBuffer.Shrink()
		c.setInputMemory(membudget.Reservation{})
		return text, memory, true
	}
	memory, ok = c.acceptor.budgets.ops.TryReserve(len(text) + opOverhead)
	if !ok {
		return nil, memory, false
	}
	return append([]byte(nil), text...), memory, true
}

// skipMessage reads and discards the message at the front of the read buffer and returns errNoMemory.
func (c *conn) skipMessage(size int) error {
	for c.readBuffer.Skip(size); c.readBuffer.Skipping(); {
		if err := c.fillInTurn(); err != nil {
			return err
		}
	}
	c.endInputTime()
	return errNoMemory
}

// releaseOp frees the memory of an op whose reply was written or will never be.
func (a *Acceptor) releaseOp(op *exchange.Exchange) {
	op.Answer.Release()
	op.Release()
}
