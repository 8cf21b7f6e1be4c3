package eventlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"golang.org/x/time/rate"
)

func TestLinesAreLimitedAndSuppressedOnesCounted(t *testing.T) {
	var out bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	defer slog.SetDefault(previous)
	l := New()
	l.limiter.SetLimit(0)
	for range burstLines + 7 {
		l.Info("event", slog.String("reason", "test"))
	}
	l.limiter.SetLimit(rate.Inf)
	l.Info("event")
	if got := strings.Count(out.String(), "\n"); got != burstLines+1 || !strings.HasSuffix(out.String(), "suppressed=7\n") {
		t.Errorf("got %d lines, want %d and 7 suppressed; log %s", got, burstLines+1, out.String())
	}
}
