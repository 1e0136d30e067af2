package begins

import (
	"strings"
	"testing"
	"time"
)

func TestFindTellsSharedBeginningsFromOwnTexts(t *testing.T) {
	var table Table
	common := strings.Repeat("a", 3*block)
	one, two := common+strings.Repeat("b", 2*block), common+strings.Repeat("c", 2*block)
	if key, n := table.SharedPrefix(0, 1, one); key != 0 || n != 0 {
		t.Errorf("the first session shares %d tokens", n)
	}
	if _, n := table.SharedPrefix(time.Second, 1, one); n != 0 {
		t.Errorf("a session shares %d tokens with itself", n)
	}
	key, n := table.SharedPrefix(2*time.Second, 2, two)
	if n != 3*block/toEach || key == 0 {
		t.Errorf("the second session shares %d tokens", n)
	}
	if again, _ := table.SharedPrefix(3*time.Second, 3, common+strings.Repeat("d", 2*block)); again != key {
		t.Errorf("the third session's beginning has key %x, not %x", again, key)
	}
	if _, n := table.SharedPrefix(3*turn, 4, one); n == 0 {
		t.Error("a beginning seen within the last generation is forgotten")
	}
	table.SharedPrefix(5*turn, 9, "")
	table.SharedPrefix(7*turn, 9, "")
	if _, n := table.SharedPrefix(7*turn, 5, two); n != 0 {
		t.Errorf("%d tokens are remembered past two turns", n)
	}
}

func TestTableIsBounded(t *testing.T) {
	var table Table
	for i := range 4000 {
		table.SharedPrefix(0, 1, strings.Repeat(string(rune('a'+i%26)), block)+strings.Repeat(string(rune(i+300)), 40*block))
	}
	if n := len(table.young) + len(table.old); n > 2*room+2*most {
		t.Errorf("holds %d blocks", n)
	}
}
