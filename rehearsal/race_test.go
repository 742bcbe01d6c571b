//go:build race

package rehearsal

// raceDetector tells that the tests are built with the race detector.
const raceDetector = true
