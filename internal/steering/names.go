// Package steering reads and checks the files that operators write (steering files, the platform file,
// the settings of a daemon), publishes configurations to the store, and follows them on entry VMs.
package steering

import (
	"encoding/json"
	"time"
)

// Names of the objects in a configuration. Each is unique within its kind.
type (
	// ServiceName names a service, for example "certdesk".
	ServiceName string
	// RegionName names a region, for example "batinah".
	RegionName string
	// ZoneName names an availability zone, for example "batinah-a".
	ZoneName string
	// TeamName names the team that owns a service.
	TeamName string
	// OperationName names an operation of a service, unique within the service.
	OperationName string
)

// Revision numbers a published configuration. It only increases; 0 means none.
type Revision uint64

// Class is the priority of an operation of a service when capacity is short.
type Class uint8

// The classes, most urgent first.
const (
	// ClassInteractive is short work that a person waits for.
	ClassInteractive Class = iota
	// ClassBulk is long work such as an upload.
	ClassBulk
	// ClassDeferrable is work that can wait; it is shed first.
	ClassDeferrable
	// ClassCount is the number of classes.
	ClassCount
)

var classNames = [ClassCount]string{"interactive", "bulk", "deferrable"}

// String returns the name used in steering files.
func (c Class) String() string {
	if c < ClassCount {
		return classNames[c]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if name == string(text) {
			*c = Class(i)
			return nil
		}
	}
	return &UnknownClassError{Text: string(text)}
}

// UnknownClassError reports a class that is not one of the names of Class.
type UnknownClassError struct{ Text string }

// Error implements error.
func (e *UnknownClassError) Error() string {
	return "unknown class " + e.Text + ": allowed are interactive, bulk, deferrable"
}

// Duration is a time.Duration written in files as a string such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
