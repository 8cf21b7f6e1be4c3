package loopback

import (
	"fmt"
	"sync"
	"time"

	"gorsewell/internal/emulator"
)

// checker watches the rules as far as stand-ins see them: what came in, what took effect twice, what was answered from data too old, what came to a draining server. Rule 1 is the clients' to check.
type checker struct {
	world *emulator.World
	start time.Time

	mu            sync.Mutex
	effects       map[uint64]int
	drainListedAt map[*server]time.Time // when it was listed as draining or gone
	violations    [5]int64
	stories       []string
	events        []Event
	sends         int64
	readPositions map[*job]int64
	listDelay     time.Duration // after which a change counts as told, since watches fell silent

	startupTimes []time.Duration // that instances took to be ready
}

// Event is something that happened in a day.
type Event struct {
	At   time.Duration
	What string
}

const maxStories = 12

func newChecker(w *emulator.World) *checker {
	return &checker{world: w, start: time.Now(), effects: map[uint64]int{}, drainListedAt: map[*server]time.Time{}, readPositions: map[*job]int64{}}
}

func (c *checker) event(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, Event{time.Since(c.start), fmt.Sprintf(format, args...)})
}

func (c *checker) violation(rule int, format string, args ...any) {
	c.violations[rule-1]++
	if len(c.stories) < maxStories {
		c.stories = append(c.stories, fmt.Sprintf("rule %d after %v: ", rule, time.Since(c.start).Round(time.Millisecond))+fmt.Sprintf(format, args...))
	}
}

// arrived: a send's last byte has come.
func (c *checker) opArrived(s *server, j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	if at, ok := c.drainListedAt[s]; ok && time.Since(at) > c.world.Rules.Grace+c.world.Rules.Slack {
		c.violation(3, "op %s came to server %d, %v after it was told that this drains", j.id, s.num, time.Since(at).Round(time.Millisecond))
	}
}

// began: the work has begun, on data as of a position.
func (c *checker) workStarted(s *server, j *job, position int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readPositions[j] = position
}

// effect: a write has taken effect.
func (c *checker) writeApplied(s *server, j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.effects[j.op]++; c.effects[j.op] > 1 && j.opType.Effect == "non_retryable" {
		c.violation(2, "op %s took effect twice", j.id)
	}
}

// answered: the answer is about to be written.
func (c *checker) answerReady(s *server, j *job, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, worked := c.readPositions[j]
	delete(c.readPositions, j)
	if a.code == "" && !a.reset && worked && !j.write && j.minPosition > 0 && at < j.minPosition && c.world.Reports.Checks == "none" {
		// On time by the send's own moment; an answer that comes after its client has left is nobody's answer.
		if time.Since(j.sentAt) < j.opType.Timeout {
			c.violation(5, "op %s was read by server %d from data %d ms too old", j.id, s.num, j.minPosition-at)
		}
	}
}

// listed: the list has told all who watch.
func (c *checker) stateListed(s *server, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == "in_service" {
		delete(c.drainListedAt, s)
	} else {
		c.drainListedAt[s] = time.Now().Add(c.listDelay)
	}
}

// toldWithin is how long after a change it counts as told, whatever befell the watches.
const maxPropagationDelay = 6 * time.Second

// silent: all watches have fallen silent. Each gateway opens another in its own time.
func (c *checker) watchesSilenced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listDelay = maxPropagationDelay
}

func (c *checker) gatewayReady(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startupTimes = append(c.startupTimes, took)
}
