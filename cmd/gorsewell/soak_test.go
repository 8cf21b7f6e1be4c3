package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gorsewell/internal/pgwire"
	"gorsewell/internal/standin"
)

// soakSeeds is an environment variable with the seeds of the soak: the first and the last one, separated by a hyphen.
const soakSeeds = "GORSEWELL_SOAK_SEEDS"

const (
	// lateAnswerLimit is how long after its client's time an answer may still come.
	lateAnswerLimit = 500 * time.Millisecond

	// leaveLimit is how long after its client has left an attempt may begin, with the slack of sockets.
	leaveLimit = 150 * time.Millisecond

	// toldSlack is by how much the time that a server is told may exceed what is left to the client, with the slack of
	// sockets.
	toldSlack = 200 * time.Millisecond

	// earliestKill is when the process may be killed after SIGTERM: the longest op timeout and 0.7 s.
	earliestKill = 3700 * time.Millisecond

	// excusedAfterStop is how long after SIGTERM commands come of which the kill may find some unanswered.
	excusedAfterStop = 700 * time.Millisecond
)

// soak is one play: a gateway with usual clients, clients that leave, floods, signals and a planned stop.
type soak struct {
	rng         *rand.Rand
	nonRetrying bool // writes are non-retryable
	addr        string
	discovery   *unreliableDiscovery
	outages     *rand.Rand // draws outages, apart from the other draws
	crowded     bool
	lastID      atomic.Int64
	stopped     atomic.Bool // clients end
	answered    atomic.Int64

	mu         sync.Mutex
	attempts   map[string][]time.Time // by id: when servers got it
	executed   map[string]int         // by id of a write: how often it ran
	leftAt     map[string]time.Time   // by id: when its client left
	expiresAt  map[string]time.Time   // by id of a usual command: when its client's time is up
	termAt     time.Time
	killed     bool
	violations []string

	// rigStall is the longest time for which the test's own process did not get to run, and rigStallEnd its end.
	rigStall    time.Duration
	rigStallEnd time.Time

	// slowestReset is the longest time between the end of a connection and the reset that tells of unread input.
	slowestReset time.Duration
}

// violate records a broken rule.
func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// watchRig observes how long the test's own process does not get to run. What it sees meanwhile is late by itself.
func (s *soak) watchRig() {
	const interval = 5 * time.Millisecond
	for last := time.Now(); !s.stopped.Load(); {
		time.Sleep(interval)
		now := time.Now()
		if stall := now.Sub(last) - interval; stall > s.rigStall {
			s.mu.Lock()
			s.rigStall, s.rigStallEnd = stall, now
			s.mu.Unlock()
		}
		last = now
	}
}

// random returns a random number below n.
func (s *soak) random(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// answer answers a query as a server, sometimes late, with an error, or not at all.
func (s *soak) answer(role, query string) ([]byte, bool) {
	position := time.Now().UnixMilli()
	_, rest, found := strings.Cut(query, "id=")
	if !found {
		return standin.Failure("42501", role, position), true
	}
	id, _, _ := strings.Cut(rest, ",")
	s.mu.Lock()
	s.attempts[id] = append(s.attempts[id], time.Now())
	expiresAt, isUsual := s.expiresAt[id]
	s.mu.Unlock()
	if _, told, _ := strings.Cut(rest, ",d="); isUsual {
		told, _, _ = strings.Cut(told, ",")
		ms, err := strconv.Atoi(told)
		if left := time.Until(expiresAt); err != nil || time.Duration(ms)*time.Millisecond > left+toldSlack {
			s.violate("%s: a server was told %q ms with %v left to the client, at %s", id, told, left,
				time.Now().UTC().Format("05.000"))
		}
	}
	if strings.HasPrefix(query, "INSERT") && role != "primary" {
		return standin.Failure("25006", role, position), true
	}
	draw := s.random(100)
	if draw == 0 {
		return standin.Failure("53300", role, position), true
	}
	if strings.HasPrefix(query, "INSERT") {
		s.mu.Lock()
		s.executed[id]++
		s.mu.Unlock()
	}
	delay := 500*time.Microsecond + time.Duration(s.random(4000))*time.Microsecond
	if draw == 1 {
		delay += time.Duration(s.random(300)) * time.Millisecond
	}
	time.Sleep(delay)
	switch draw {
	case 2:
		return standin.Failure("XX000", role, position), true
	case 3:
		return nil, false
	}
	return standin.Row("v"+id, role, position), true
}

// statement returns a new statement and its id.
func (s *soak) statement(write bool, wait time.Duration, keyBytes int) (id, text string) {
	id = fmt.Sprint("s", s.lastID.Add(1))
	form := "SELECT data FROM facts WHERE code = '%s' /* id=%s,c=lookup,d=%d,cluster=0 */"
	if write {
		form = "INSERT INTO facts (code, data) VALUES ('%s', 'x') RETURNING data /* id=%s,c=save,d=%d,cluster=0 */"
	}
	return id, fmt.Sprintf(form, strings.Repeat("k", keyBytes), id, wait.Milliseconds())
}

// connect opens a connection. It returns nil if the gateway does not take it.
func (s *soak) connect() *standin.Client {
	c, err := standin.DialTCP(s.addr)
	if err != nil {
		return nil
	}
	c.WriteBytes(pgwire.AppendStartup(nil, "portal", "crm"))
	if got, err := c.ReadAnswer(); err != nil || got != "" {
		c.Close()
		return nil
	}
	return c
}

// playUsualClient sends one command at a time until the play ends.
func (s *soak) playUsualClient() {
	var c *standin.Client
	for !s.stopped.Load() {
		time.Sleep(time.Duration(s.random(60)) * time.Millisecond)
		if c == nil {
			if c = s.connect(); c == nil {
				continue
			}
		}
		wait := time.Duration(100+s.random(700)) * time.Millisecond
		id, text := s.statement(s.random(4) == 0, wait, 1)
		sentAt := time.Now()
		s.mu.Lock()
		s.expiresAt[id] = sentAt.Add(wait)
		s.mu.Unlock()
		c.SetDeadline(sentAt.Add(wait + lateAnswerLimit))
		got, err := c.Query(text)
		if got == "$" && s.wasUnread(c) {
			err = syscall.ECONNRESET
		}
		s.judge(id, c.LocalAddr().String(), sentAt, got, err)
		if err != nil || strings.HasSuffix(got, "$") || s.random(20) == 0 {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// wasUnread reports whether a connection that the gateway has closed was reset, which tells that it had unread input.
func (s *soak) wasUnread(c *standin.Client) bool {
	start := time.Now()
	reset := c.AwaitReset(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	if reset {
		s.slowestReset = max(s.slowestReset, time.Since(start))
	}
	return reset
}

// judge checks the answer to a command of a usual client.
func (s *soak) judge(id, client string, sentAt time.Time, got string, err error) {
	s.mu.Lock()
	termAt, killed, executed, attempts := s.termAt, s.killed, s.executed[id], len(s.attempts[id])
	s.mu.Unlock()
	took := time.Since(sentAt)
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	switch {
	case got == "v"+id:
		s.answered.Add(1)
	case strings.HasPrefix(got, "C53300"):
		if s.nonRetrying && executed > 0 {
			s.violate("%s ran and was answered with 53300", id)
		}
	case strings.HasPrefix(got, "C08007"):
	case killed && sentAt.Sub(termAt) <= excusedAfterStop:
	case reset && !killed: // it was not read: the client sends it again on another connection
		if executed > 0 {
			s.violate("%s ran and its connection was reset after %v: %v", id, took, err)
		}
	default:
		s.violate("%s of %s: got %q, %v after %v, sent %v after SIGTERM, %d attempts (killed: %v)", id, client, got, err, took, sentAt.Sub(termAt),
			attempts, killed)
	}
}

// playLeavingClient sends many commands at once and leaves.
func (s *soak) playLeavingClient() {
	c := s.connect()
	if c == nil {
		return
	}
	var input []byte
	var ids []string
	keyBytes := []int{1, 1, 16 << 10}[s.random(3)]
	for range 1 + s.random(60) {
		id, text := s.statement(true, 2500*time.Millisecond, keyBytes)
		ids = append(ids, id)
		input = pgwire.AppendQuery(input, text)
	}
	c.SetDeadline(time.Now().Add(100 * time.Millisecond))
	c.WriteBytes(input)
	time.Sleep(time.Duration(s.random(30)) * time.Millisecond)
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.leftAt[id] = time.Now()
	}
}

// checkAttempts checks what the servers got.
func (s *soak) checkAttempts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, left := range s.leftAt {
		for _, at := range s.attempts[id] {
			if late := at.Sub(left); late > leaveLimit {
				s.violations = append(s.violations, fmt.Sprintf("an attempt of %s began %v after its client had left", id, late))
			}
		}
	}
	for id, n := range s.executed {
		if s.nonRetrying && n > 1 {
			s.violations = append(s.violations, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
}

// play plays a seed and returns the gateway's log.
func (s *soak) play(t *testing.T) string {
	memoryMB := []int{64, 96, 192}[s.rng.IntN(3)]
	sockets := map[bool]int{true: 256, false: 1024}[s.crowded]
	cmd, addr, out, path := startGatewayWith(t, s.answer, func(config string) string {
		if s.nonRetrying {
			config = strings.Replace(config, `"effect":"dedup"`, `"effect":"fragile"`, 1)
		}
		s.discovery = startUnreliableDiscovery(t, config)
		config = replaceField(t, config, "discovery", s.discovery.addr())
		return replaceField(t, config, "limits", map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets})
	})
	s.addr = addr
	var clients sync.WaitGroup
	clients.Go(s.watchRig)
	for range 16 {
		clients.Go(s.playUsualClient)
	}
	if s.crowded {
		for range sockets {
			if c, err := standin.DialTCP(addr); err == nil {
				defer c.Close()
			}
		}
	}
	s.playTroubles(t, cmd)
	s.stop(t, cmd)
	s.stopped.Store(true)
	clients.Wait()
	s.checkAttempts()
	if _, err := os.Stat(path); err != nil {
		t.Error(err)
	}
	return out.String()
}

// playTroubles plays floods, leaving clients, signals, stalls and outages of discovery one after the other.
func (s *soak) playTroubles(t *testing.T, cmd *exec.Cmd) {
	kinds := floodKinds()
	for range 3 {
		kind := kinds[s.random(len(kinds))]
		process := startFlood(t, s.addr, kind, []int{1, 6, 64}[s.random(3)])
		for range 5 {
			s.playLeavingClient()
			s.discovery.begin(outage(s.outages.IntN(int(outageKinds))))
			switch s.random(4) {
			case 0:
				cmd.Process.Signal(syscall.SIGHUP)
				cmd.Process.Signal(syscall.SIGUSR1)
			case 1:
				cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(s.random(150)) * time.Millisecond)
				cmd.Process.Signal(syscall.SIGCONT)
			}
			time.Sleep(100 * time.Millisecond)
		}
		process.Kill()
	}
	s.discovery.begin(noOutage)
}

// stop stops the gateway as planned, with further signals in series, and kills it at the earliest time that the platform
// may. A flood goes on meanwhile in some plays.
func (s *soak) stop(t *testing.T, cmd *exec.Cmd) {
	if s.random(2) == 0 {
		kinds := floodKinds()
		startFlood(t, s.addr, kinds[s.random(len(kinds))], 6)
	}
	s.mu.Lock()
	s.termAt = time.Now()
	s.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGINT} {
		if s.random(2) == 0 {
			time.Sleep(time.Duration(s.random(100)) * time.Millisecond)
			cmd.Process.Signal(signal)
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			s.violate("the gateway ended with %v", err)
		}
	case <-time.After(time.Until(s.termAt.Add(earliestKill))):
		s.mu.Lock()
		s.killed = true
		s.mu.Unlock()
		cmd.Process.Kill()
		<-ended
	}
}

// linesAbout returns the lines of a log that contain any of the words.
func linesAbout(log string, words ...string) string {
	var lines []string
	for line := range strings.Lines(log) {
		if slices.ContainsFunc(words, func(word string) bool { return strings.Contains(line, word) }) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// Rules are kept beside floods, clients that leave, stalls, signals in series and a planned stop up to the earliest kill.
func TestSoak(t *testing.T) {
	first, last, _ := strings.Cut(cmp.Or(os.Getenv(soakSeeds), "1-3"), "-")
	from, err := strconv.Atoi(first)
	to, err2 := strconv.Atoi(last)
	if err := errors.Join(err, err2); err != nil {
		t.Fatal(err)
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &soak{rng: rand.New(rand.NewPCG(uint64(seed), 0)), outages: rand.New(rand.NewPCG(uint64(seed), 1)), nonRetrying: seed%2 == 0, crowded: seed%3 == 0,
				attempts: map[string][]time.Time{}, executed: map[string]int{}, leftAt: map[string]time.Time{}, expiresAt: map[string]time.Time{}}
			log := s.play(t)
			for _, v := range s.violations {
				t.Error(v)
			}
			if t.Failed() {
				t.Log(linesAbout(log, "client_closed", "stopping", "stopped", "suppressed"))
			}
			if s.answered.Load() == 0 || strings.Contains(log, "event=broken") || strings.Contains(log, "panic") {
				t.Errorf("got %d answers; log %s", s.answered.Load(), log)
			}
			t.Logf("%d usual commands acked, %d commands left, %d calls of discovery failed, killed: %v, slowest reset %v, the rig stood still for up to %v until %s",
				s.answered.Load(), len(s.leftAt), s.discovery.failed.Load(), s.killed, s.slowestReset, s.rigStall, s.rigStallEnd.UTC().Format("05.000"))
		})
	}
}
