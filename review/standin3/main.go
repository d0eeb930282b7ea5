//go:build review

// Command standin3 plays the scripts of review/11 to review/15: a small deployment with the
// program's own processes, and stand-ins of the platform, its runners and its clients.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
)

// scenarios holds the scripts by name.
var scenarios = map[string]func(d *deployment, trouble bool){
	"new-runners": newRunnersAndOutage,
	"takeovers":   takeoversAfterLoss,
	"turns":       turnsWithinLease,
	"mixed":       mixedLoad,
	"moved":       movedAdvice,
	"budget":      budgetInWave,
}

func main() {
	var names []string
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: standin3", strings.Join(names, "|"), "RECORD")
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		cannotRun(err)
	}
	scenarios[os.Args[1]](newDeployment(record), os.Getenv("TROUBLE") != "0")
}
