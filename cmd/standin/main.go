// Command standin plays a small group of database servers and its discovery on loopback, so that the gateway can be
// tried by hand. It prints the gateway's configuration and answers until it is interrupted.
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
	listen := flag.String("listen", "127.0.0.1:6432", "where the gateway is to listen")
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

// answer gives every read the server's name; only the primary takes writes.
func answer(role, query string) ([]byte, bool) {
	now := time.Now().UnixMilli()
	if role == "replica" && strings.HasPrefix(query, "INSERT") {
		return standin.Failure("25006", role, now), true
	}
	return standin.Row("the answer of the "+role, role, now), true
}
