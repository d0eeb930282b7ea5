//go:build review

// Command standin2 plays the scripts of the second independent review: it starts entry
// instances as separate processes with the command of the deploy file, on loopback addresses
// and the real clock, together with stand-ins of the users' platform, runners and clients,
// and checks one rule of the users' pages by what these stand-ins have seen.
//
// Usage: standin2 CASE RECORD. CASE names a script, RECORD is the file for what was sent,
// answered and run. With TROUBLE=0 in the environment the script leaves out the disruption.
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main
