package carrier

import (
	"strings"
	"testing"
	"time"
)

// Operators and tools match the names of gossip's counters in the log. They are derived from the names of struct
// fields.
func TestCounterNamesInLog(t *testing.T) {
	const want = "alive suspect dead left sent sent_bytes received replayed strange stale_run own_name stale_claims future_claims " +
		"claims_full accusations accusations_ignored refutations suspected died revived expelled paused rumours_taken " +
		"rumours_old rumours_future rumours_strange rumours_known rumours_dropped rumours_made rumours_withdrawn rumours_held " +
		"borne_out contradicted syncs syncs_failed tells_put_off dropped_form dropped_version dropped_cluster dropped_stranger " +
		"dropped_tag dropped_signature dropped_expired dropped_authority dropped_budget dropped_queue dropped_oversized " +
		"dropped_datagrams dropped_streams dropped_streams_failed dropped_unsent"
	cluster := newTestCluster(t)
	var names []string
	for _, a := range cluster.start("a", cluster.issueKeyring("a", time.Hour, cluster.authority), nil).Attrs() {
		names = append(names, a.Key)
	}
	if got := strings.Join(names, " "); got != want {
		t.Errorf("counter names: got\n%s\nwant\n%s", got, want)
	}
}
