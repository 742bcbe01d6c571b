//go:build race

package rehearsal

// raceDetector is true if the tests are built with the race detector.
const raceDetector = true
