// Package eventlog logs events of single ops and connections, which may be many, at a limited rate.
package eventlog

import (
	"context"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is the rate of lines in the long run.
	linesPerSecond = 20

	// burstLines is how many lines are logged at once after a quiet time.
	burstLines = 100
)

// Log is a log of limited rate. The zero value is not usable.
type Log struct {
	limiter *rate.Limiter

	// suppressed is the number of lines that were not logged since the last one that was.
	suppressed atomic.Int64
}

// New returns a log.
func New() *Log { return &Log{limiter: rate.NewLimiter(linesPerSecond, burstLines)} }

// Info logs an event, or counts it if there were too many. A line states how many were suppressed before it.
func (l *Log) Info(event string, attributes ...slog.Attr) {
	if !l.limiter.Allow() {
		l.suppressed.Add(1)
		return
	}
	if n := l.suppressed.Swap(0); n > 0 {
		attributes = append(attributes, slog.Int64("suppressed", n))
	}
	slog.LogAttrs(context.Background(), slog.LevelInfo, event, attributes...)
}
