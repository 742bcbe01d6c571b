package asynclog

import (
	"fmt"

	"github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"
)

// KratosLogger is a kratos logger that forwards its lines to logrus.
type KratosLogger struct {
	Entry *logrus.Entry
}

// Log writes one line with the fields given as alternating keys and values.
func (l KratosLogger) Log(level log.Level, pairs ...any) error {
	fields := make(logrus.Fields, len(pairs)/2)
	message := ""
	for i := 0; i+1 < len(pairs); i += 2 {
		key := fmt.Sprint(pairs[i])
		if key == log.DefaultMessageKey {
			message = fmt.Sprint(pairs[i+1])
			continue
		}
		fields[key] = pairs[i+1]
	}
	l.Entry.WithFields(fields).Log(logrusLevel(level), message)
	return nil
}

func logrusLevel(l log.Level) logrus.Level {
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
