// Case 8: a change of discovery that arrives slowly is never taken in.
package main

import (
	"os"

	"sloetrestle/review/kit2"
)

func main() { os.Exit(kit2.Play("slow-change", os.Getenv("RECORD"))) }
