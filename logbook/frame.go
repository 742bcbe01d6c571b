package logbook

import (
	"fmt"

	"github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"
)

// Frame passes the log lines of kratos on to logrus.
type Frame struct {
	Entry *logrus.Entry
}

// Log writes one line with its pairs of keys and values.
func (l Frame) Log(level log.Level, pairs ...any) error {
	fields := make(logrus.Fields, len(pairs)/2)
	message := ""
	for i := 0; i+1 < len(pairs); i += 2 {
		name := fmt.Sprint(pairs[i])
		if name == log.DefaultMessageKey {
			message = fmt.Sprint(pairs[i+1])
			continue
		}
		fields[name] = pairs[i+1]
	}
	l.Entry.WithFields(fields).Log(levelOf(level), message)
	return nil
}

func levelOf(l log.Level) logrus.Level {
	switch l {
	case log.LevelDebug:
		return logrus.DebugLevel
	case log.LevelWarn:
		return logrus.WarnLevel
	case log.LevelError, log.LevelFatal:
		return logrus.ErrorLevel
	default:
		return logrus.InfoLevel
	}
}
