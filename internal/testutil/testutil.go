// Package testutil holds what the tests of several packages share: fake replicas on loopback sockets (Replica, Script),
// a dispatcher in front of them (Deployment), a host system whose calls fail (FakeSystem), awaited conditions
// (Eventually) and seed corpora for fuzz tests (CorruptedSeeds). Golden files are in the package golden, helpers of
// simulated time in the package simtest; these two import no other package of the program, so that the tests of every
// package can use them.
//
// Replica and FakeSystem are safe for use by several goroutines. Functions that take a testing.TB must be called from
// the goroutine of the test, since they may end it.
package testutil
