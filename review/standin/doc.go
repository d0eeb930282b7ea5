//go:build review

// Command review-standin plays the scripted cases of the review in review/. It starts
// entry instances with the command of the deploy file, and serves them with stand-ins of
// the platform's store and of runners on loopback addresses.
//
// Its code is built with the tag review only, so that it is no part of the default build
// and of the default tests.
package main
