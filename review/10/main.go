// Case 10: the state of a read whose connection broke just before its end stays held.
package main

import (
	"os"

	"sloetrestle/review/kit2"
)

func main() { os.Exit(kit2.Play("reset-reads", os.Getenv("RECORD"))) }
