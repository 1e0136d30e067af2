package setup

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// ConfigError is an error in a file, with its position.
type ConfigError struct {
	File    string
	Line    int
	Key     string
	Message string
}

// Error returns file, line, key and message.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// Load reads and checks the configuration file of a dispatcher.
func Load(file string) (DispatcherConfig, error) {
	config := DefaultDispatcherConfig()
	raw, err := os.ReadFile(file)
	if err != nil {
		return config, err
	}
	return config, Decode(file, raw, &config, config.check)
}

// Decode reads TOML, rejecting unknown keys, and then calls check. Errors are returned as a ConfigError; those that
// check returns from Invalidf have the line of their key.
func Decode(file string, raw []byte, into any, check func() error) error {
	dec := toml.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	dec.EnableUnmarshalerInterface()
	err := dec.Decode(into)
	var unknownKeys *toml.StrictMissingError
	var wrongType *toml.DecodeError
	var wrongDuration *invalidDuration
	switch {
	case errors.As(err, &unknownKeys):
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return &ConfigError{file, line, strings.Join(first.Key(), "."), "no such key"}
	case errors.As(err, &wrongType):
		line, _ := wrongType.Position()
		return &ConfigError{
			file, line, strings.Join(wrongType.Key(), "."), strings.TrimPrefix(wrongType.Error(), "toml: "),
		}
	case errors.As(err, &wrongDuration):
		key, line := keyWithValue(raw, wrongDuration.value)
		return &ConfigError{file, line, key, wrongDuration.Error()}
	case err != nil:
		return &ConfigError{file, 1, "", err.Error()}
	}
	var invalid *invalidValue
	if err := check(); errors.As(err, &invalid) {
		return &ConfigError{file, lineOfKey(raw, invalid.key), invalid.key, invalid.message}
	} else if err != nil {
		return &ConfigError{file, 1, "", err.Error()}
	}
	return nil
}

// keyPosition is a key or table head of a TOML text.
type keyPosition struct {
	name  string // dotted; a table of an array has its index among the tables of that name
	line  int
	value string // as written; empty for table heads
}

// keyPositions returns the keys and table heads of a TOML text in order.
func keyPositions(raw []byte) []keyPosition {
	var parser unstable.Parser
	parser.Reset(raw)
	var positions []keyPosition
	table, counts := "", map[string]int{}
	for parser.NextExpression() {
		expr := parser.Expression()
		var parts []string
		line := 0
		for it := expr.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			if line == 0 {
				line = parser.Shape(it.Node().Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch expr.Kind {
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			positions = append(positions, keyPosition{name, line, string(parser.Raw(expr.Value().Raw))})
			continue
		case unstable.ArrayTable:
			name, counts[name] = fmt.Sprintf("%s.%d", name, counts[name]), counts[name]+1
		}
		table = name
		positions = append(positions, keyPosition{name: name, line: line})
	}
	return positions
}

// lineOfKey returns the line of a dotted key, or of the nearest table that contains it.
func lineOfKey(raw []byte, key string) int {
	best, depth := 1, 0
	for _, p := range keyPositions(raw) {
		if (p.name == key || strings.HasPrefix(key, p.name+".")) && len(p.name) > depth {
			best, depth = p.line, len(p.name)
		}
	}
	return best
}

// keyWithValue returns the first key that has a value, and its line.
func keyWithValue(raw []byte, value string) (string, int) {
	for _, p := range keyPositions(raw) {
		if p.value == value {
			return p.name, p.line
		}
	}
	return "", 1
}
