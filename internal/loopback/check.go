package loopback

import (
	"fmt"
	"sync"
	"time"

	"gorsewell/internal/emulator"
)

// checker checks rules 2, 3 and 5 from what the stand-in servers see: writes that take effect twice, ops that arrive at
// a draining server, and answers from data that is too old. It also collects the events of a run. The clients check
// rule 1.
type checker struct {
	world *emulator.World
	start time.Time

	mu            sync.Mutex
	effects       map[uint64]int        // how often each op took effect, by the number of the op
	drainKnownAt  map[*server]time.Time // when each gateway must know that the server drains or is gone
	violations    [5]int64              // by rule
	stories       []string              // descriptions of the first violations
	events        []Event
	sends         int64          // that have arrived at servers in full
	readPositions map[*job]int64 // position in the log of the server when work on the job began
	listDelay     time.Duration  // from a change of the list until each gateway must know it; 0 until watches fall silent

	startupTimes []time.Duration // from the start until ops are accepted, of gateways that were started again
}

// Event is something that happened during a run, such as the start of a fault.
type Event struct {
	At   time.Duration
	What string
}

const maxStories = 12 // number of violations that are described; all are counted

func newChecker(world *emulator.World) *checker {
	return &checker{world: world, start: time.Now(), effects: map[uint64]int{}, drainKnownAt: map[*server]time.Time{},
		readPositions: map[*job]int64{}}
}

// event records something that happened.
func (c *checker) event(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, Event{time.Since(c.start), fmt.Sprintf(format, args...)})
}

// violation counts a violation of a rule and records the descriptions of the first ones. The caller holds the lock.
func (c *checker) violation(rule int, format string, args ...any) {
	c.violations[rule-1]++
	if len(c.stories) < maxStories {
		c.stories = append(c.stories,
			fmt.Sprintf("rule %d after %v: ", rule, time.Since(c.start).Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// opArrived records that a send has arrived in full and checks rule 3.
func (c *checker) opArrived(s *server, j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	if at, ok := c.drainKnownAt[s]; ok && time.Since(at) > c.world.Rules.Grace+c.world.Rules.Slack {
		c.violation(3, "op %s came to server %d, %v after it was told that this drains", j.id, s.num,
			time.Since(at).Round(time.Millisecond))
	}
}

// workStarted records the position in the log that the server has when work on the job starts.
func (c *checker) workStarted(s *server, j *job, position int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readPositions[j] = position
}

// writeApplied records that a write has taken effect and checks rule 2.
func (c *checker) writeApplied(s *server, j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.effects[j.op]++; c.effects[j.op] > 1 && j.opType.Effect == "non_retryable" {
		c.violation(2, "op %s took effect twice", j.id)
	}
}

// answerReady checks rule 5 just before the answer is written.
func (c *checker) answerReady(s *server, j *job, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	position, worked := c.readPositions[j]
	delete(c.readPositions, j)
	if a.code == "" && !a.reset && worked && !j.write && j.minPosition > 0 && position < j.minPosition &&
		c.world.Reports.Checks == "none" {
		// An answer after the op timeout of this send does not count, because its client has left.
		if time.Since(j.sentAt) < j.opType.Timeout {
			c.violation(5, "op %s was read by server %d from data %d ms too old", j.id, s.num, j.minPosition-position)
		}
	}
}

// stateListed records that the state of a server has changed in the list and that open watches are answered.
func (c *checker) stateListed(s *server, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == "in_service" {
		delete(c.drainKnownAt, s)
	} else {
		c.drainKnownAt[s] = time.Now().Add(c.listDelay)
	}
}

// maxPropagationDelay is the time after a change of the list by which each gateway must know it, even if all watches
// have fallen silent.
const maxPropagationDelay = 6 * time.Second

// watchesSilenced records that all open watches have fallen silent. Each gateway opens a new one at a time of its own,
// so a later change has to be known only after maxPropagationDelay.
func (c *checker) watchesSilenced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listDelay = maxPropagationDelay
}

// gatewayReady records how long a gateway that was started again took until it accepted ops.
func (c *checker) gatewayReady(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startupTimes = append(c.startupTimes, took)
}
