package serverside

import (
	"context"
	"os"

	"gorsewell/internal/exchange"
	"gorsewell/internal/membudget"
	"gorsewell/internal/pgwire"
)

// Long messages of servers, those that do not fit into the usual read buffer, occupy memory of one budget: otherwise many
// connections with long answers, or with ones that never end, would exhaust the process. A message reserves all that it
// needs before it is read, so that those who wait for memory hold none of their own.
const (
	// answerMemoryDivisor is the part of the memory for long messages.
	answerMemoryDivisor = 16

	// longMessageCopies is how often a row may be in memory: as read, and in the answer.
	longMessageCopies = 2

	// otherMessagesBytes is reserved beside a long row for other messages of the response, which are shorter than this.
	otherMessagesBytes = 16 << 10

	// maxIdleQueryBytes is the size of the encoded query from which on its memory is freed once it is written.
	maxIdleQueryBytes = 4 << 10
)

// newAnswerBudget returns the budget of a process that may use the given number of bytes, 0 if that is not known.
func newAnswerBudget(memory int64) *membudget.Budget {
	if memory <= 0 {
		memory = membudget.UnknownMemory
	}
	return membudget.New(max(longMessageCopies*pgwire.DefaultMaxMessage, memory/answerMemoryDivisor))
}

// ensureSpace makes room for a message of the given size at the front of the read buffer. If there is no memory it waits
// for some until the job ends; meanwhile nothing is read. Without a job it does not wait.
func (c *conn) ensureSpace(j *job, size int) error {
	if c.readBuffer.Holds(size) {
		return nil
	}
	if isRow := c.readBuffer.Bytes()[0] == pgwire.DataRow; isRow || c.answerMemory.Budget() == nil {
		c.answerMemory.Release() // of an earlier message, which is not part of the answer
		if err := c.reserveMemory(j, longMessageCopies*size+otherMessagesBytes); err != nil {
			return err
		}
	}
	c.readBuffer.Grow(size)
	return nil
}

// reserveMemory sets answerMemory to n reserved bytes.
func (c *conn) reserveMemory(j *job, n int) error {
	memory, ok := c.pool.answers.TryReserve(n)
	if !ok && j != nil {
		c.pool.counts.AnswersDelayed.Add(1)
		var err error
		memory, err = c.pool.awaitMemory(j, n)
		ok = err == nil
	}
	if !ok {
		return os.ErrDeadlineExceeded
	}
	c.answerMemory = memory
	return nil
}

// awaitMemory waits until memory for a message is free. It returns an error if the job ends first.
func (p *Pool) awaitMemory(j *job, n int) (membudget.Reservation, error) {
	ctx, cancel := context.WithDeadline(p.ctx, p.clock.Time(j.deadline))
	defer cancel()
	p.mu.Lock()
	if j.cancelled {
		cancel()
	}
	j.cancelWait = cancel
	p.mu.Unlock()
	return p.answers.Reserve(ctx, n)
}

// releaseInput frees the read buffer of a long message. The answer keeps the memory that it occupies itself.
func (c *conn) releaseInput(answer *exchange.Answer) {
	if c.answerMemory.Budget() == nil {
		return
	}
	c.readBuffer.Shrink()
	c.answerMemory.ReduceTo(cap(answer.Bytes))
	answer.Memory = c.answerMemory.Move()
}
