package counters

import (
	"strings"
	"testing"
)

// Operators and tools match the log names of the counters, which are derived from the names of the fields.
func TestCounterNamesInLog(t *testing.T) {
	const want = "taken acked busy_replied errored left held sent send_acked send_error send_full send_timed_out send_no_connection " +
		"send_reset send_cancelled send_not_sent send_missed send_client_unknown probes probes_acked server_conns server_reused server_broken " +
		"server_refused client_conns client_refused client_idle_closed client_open server_open malformed unusable " +
		"malformed_answers commands_skipped answers_delayed lists lists_failed given_up_stopping given_up_no_servers " +
		"given_up_fails_everywhere given_up_no_time_left given_up_no_send_allowed assertions_broken"
	var names []string
	for _, a := range (&Set{}).Attrs() {
		names = append(names, a.Key)
	}
	if got := strings.Join(names, " "); got != want {
		t.Errorf("got counter names\n%s\nwant\n%s", got, want)
	}
}
