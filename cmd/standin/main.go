// Command standin runs a stand-in primary, replica and discovery service on loopback, so that the gateway can be tried
// by hand. It prints the gateway's platform configuration and answers until it is interrupted.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"gorsewell/internal/standin"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:6432", "host:port at which the gateway listens")
	flag.Parse()
	group, err := standin.Start(*listen, answer)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	defer group.Close()
	os.Stdout.Write(group.Config)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

// answer returns the answer to a query. It contains the role of the server; the replica rejects writes.
func answer(role, query string) ([]byte, bool) {
	now := time.Now().UnixMilli()
	if role == "replica" && strings.HasPrefix(query, "INSERT") {
		return standin.Failure("25006", role, now), true
	}
	return standin.Row("the answer of the "+role, role, now), true
}
