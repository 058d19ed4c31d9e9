// Package telemetry sets up logs, traces and metrics of a daemon.
package telemetry

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/steering"
)

// timestampFormat is RFC 3339 with a fixed number of digits, so that lines sort by time.
const timestampFormat = "2006-01-02T15:04:05.000000Z07:00"

// UnknownLevelError reports an unsupported log level.
type UnknownLevelError struct{ Level string }

// Error implements error.
func (e *UnknownLevelError) Error() string {
	return "unknown log level " + e.Level + ": allowed are debug, info, warning, error"
}

// NewLogger returns a logger that writes one line of key=value pairs for each event to w. The
// first keys are time, level and event; the others follow in alphabetical order. An empty level
// means info. Errors: *UnknownLevelError.
func NewLogger(settings steering.TelemetrySettings, w io.Writer) (*logrus.Logger, error) {
	level, err := parseLevel(settings.LogLevel)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&lineFormatter{text: logrus.TextFormatter{
		DisableColors:    true,
		FullTimestamp:    true,
		QuoteEmptyFields: true,
		TimestampFormat:  timestampFormat,
		FieldMap:         logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	}})
	return logger, nil
}

func parseLevel(text string) (logrus.Level, error) {
	switch text {
	case "":
		return logrus.InfoLevel, nil
	case "debug", "info", "warning", "error":
		return logrus.ParseLevel(text)
	}
	return 0, &UnknownLevelError{Level: text}
}

// lineFormatter writes timestamps in UTC regardless of the time zone of the machine.
type lineFormatter struct{ text logrus.TextFormatter }

// Format implements logrus.Formatter.
func (f *lineFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	local := entry.Time
	entry.Time = local.In(time.UTC)
	line, err := f.text.Format(entry)
	entry.Time = local
	return line, err
}
