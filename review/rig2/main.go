// Command rig2 plays the cases 6 to 10 of the review. It starts the gateway by the command of the deploy file, in the folder
// REVIEW_ROOT, and stands in for clients, servers and discovery.
//
//	rig2 CASE RECORD
//
// With TROUBLE=0 in the environment it leaves the disruption out. The exit status is 1 if the rule was broken, 0 if it was
// kept and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(rec *record, folder string, trouble bool) int{
		"leave":   leave,
		"noise":   noise,
		"stall":   stall,
		"flood":   flood,
		"restart": restart,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil || os.Getenv("REVIEW_ROOT") == "" {
		fmt.Fprintln(os.Stderr, "usage: REVIEW_ROOT=FOLDER rig2 CASE RECORD")
		os.Exit(noRun)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	rec := newRecord(os.Args[2])
	code := cases[os.Args[1]](rec, folder, os.Getenv("TROUBLE") != "0")
	endGateways()
	for _, g := range gateways {
		if text, err := os.ReadFile(g.log); err == nil && os.Getenv("REVIEW_LOG") != "" {
			os.Stderr.Write(text)
		}
	}
	os.RemoveAll(folder)
	rec.add("exit status %d", code)
	fmt.Printf("%s: exit status %d\n", os.Args[1], code)
	os.Exit(code)
}
