package counters

import (
	"strings"
	"testing"

	"gorsewell/choice"
)

func TestStringHoldsAllCounters(t *testing.T) {
	s := &Set{}
	s.Taken.Add(3)
	s.BusyReplied.Add(2)
	s.SendEnds[choice.Declined].Add(4)
	got := s.String()
	if !strings.HasPrefix(got, "taken=3 acked=0 busy_replied=2 ") || !strings.Contains(got, " send_missed=4 ") || !strings.Contains(got, " assertions_broken=") {
		t.Error(got)
	}
}
