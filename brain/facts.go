package brain

import (
	"fmt"
	"time"
)

// Facts are the settings that an instance is started with, under dotted names such as "rules.coldFrom" or "kinds.0".
type Facts map[string]any

func (f Facts) Num(name string, absent float64) float64 {
	if v, ok := f[name].(float64); ok {
		return v
	}
	return absent
}

func (f Facts) Text(name string) string {
	s, _ := f[name].(string)
	return s
}

func (f Facts) Yes(name string) bool {
	v, _ := f[name].(bool)
	return v
}

func (f Facts) Span(name string) time.Duration {
	return time.Duration(f.Num(name, 0)) * time.Microsecond
}

// Lacks names the first of the given numbers that is missing.
func (f Facts) Lacks(names ...string) error {
	for _, name := range names {
		if _, ok := f[name].(float64); !ok {
			return fmt.Errorf("setting %s is missing or no number", name)
		}
	}
	return nil
}
