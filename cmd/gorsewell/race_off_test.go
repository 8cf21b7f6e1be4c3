//go:build !race

package main

// raceDetector tells that the race detector is off.
const raceDetector = false
