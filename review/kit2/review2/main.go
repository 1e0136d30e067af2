// Command review2 plays one of the plays of the second review, those included that no case uses.
package main

import (
	"fmt"
	"os"

	"sloetrestle/review/kit2"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 PLAY RECORD")
		os.Exit(2)
	}
	os.Exit(kit2.Play(os.Args[1], os.Args[2]))
}
