// Package examples holds the example days; the demo's is built into the program.
package examples

import _ "embed"

// Demo is the day that the demo plays.
//
//go:embed demo.toml
var Demo []byte
