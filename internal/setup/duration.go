package setup

import (
	"time"
)

// Duration is a time.Duration that is written as a string such as "250ms" or "4s".
type Duration time.Duration

// UnmarshalTOML accepts only a string: a bare number, which would be taken for nanoseconds, has no unit.
func (d *Duration) UnmarshalTOML(raw []byte) error {
	n := len(raw) - 1
	if n < 2 || raw[0] != raw[n] || raw[0] != '"' && raw[0] != '\'' {
		return &invalidDuration{string(raw)}
	}
	if d.UnmarshalText(raw[1:n]) != nil {
		return &invalidDuration{string(raw)}
	}
	return nil
}

// UnmarshalText reads what MarshalText wrote, as in the head of a recording.
func (d *Duration) UnmarshalText(raw []byte) error {
	parsed, err := time.ParseDuration(string(raw))
	if err != nil || parsed < 0 {
		return &invalidDuration{string(raw)}
	}
	*d = Duration(parsed)
	return nil
}

// invalidDuration is the error for a value that is not a duration. Decode adds its line and key.
type invalidDuration struct{ value string }

func (e *invalidDuration) Error() string {
	return e.value + " is no length of time such as \"250ms\" or \"4s\""
}

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
