//go:build race

package main

// raceDetector tells that the race detector is on, which multiplies the memory of a process.
const raceDetector = true
