package counters

import (
	"strings"
	"testing"
)

func TestAllAreGivenByName(t *testing.T) {
	s := &Set{}
	s.Taken.Add(3)
	s.BusyReplied.Add(2)
	got := s.String()
	if !strings.HasPrefix(got, "taken=3 acked=0 busy_replied=2 ") || !strings.Contains(got, " assertions_broken=") {
		t.Error(got)
	}
}
