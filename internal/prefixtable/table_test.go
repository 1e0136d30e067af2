package prefixtable

import (
	"strings"
	"testing"
	"time"
)

func TestFindReturnsOnlyPrefixesSharedAcrossSessions(t *testing.T) {
	var table Table
	common := strings.Repeat("a", 3*blockBytes)
	first, second := common+strings.Repeat("b", 2*blockBytes), common+strings.Repeat("c", 2*blockBytes)
	if key, tokens := table.SharedPrefix(0, 1, first); key != 0 || tokens != 0 {
		t.Errorf("the first session shares %d tokens", tokens)
	}
	if _, tokens := table.SharedPrefix(time.Second, 1, first); tokens != 0 {
		t.Errorf("a session shares %d tokens with itself", tokens)
	}
	key, tokens := table.SharedPrefix(2*time.Second, 2, second)
	if tokens != 3*blockBytes/bytesPerToken || key == 0 {
		t.Errorf("the second session shares %d tokens", tokens)
	}
	if again, _ := table.SharedPrefix(3*time.Second, 3, common+strings.Repeat("d", 2*blockBytes)); again != key {
		t.Errorf("the third session's prefix has key %x, want %x", again, key)
	}
	if _, tokens := table.SharedPrefix(3*generationTime, 4, first); tokens == 0 {
		t.Error("a prefix seen in the previous generation is forgotten")
	}
	table.SharedPrefix(5*generationTime, 9, "")
	table.SharedPrefix(7*generationTime, 9, "")
	if _, tokens := table.SharedPrefix(7*generationTime, 5, second); tokens != 0 {
		t.Errorf("%d tokens are remembered after two generations", tokens)
	}
}

func TestTableSizeIsBounded(t *testing.T) {
	var table Table
	for i := range 4000 {
		table.SharedPrefix(0, 1,
			strings.Repeat(string(rune('a'+i%26)), blockBytes)+strings.Repeat(string(rune(i+300)), 40*blockBytes))
	}
	if blocks := len(table.current) + len(table.previous); blocks > 2*generationBlocks+2*maxBlocks {
		t.Errorf("the table holds %d blocks", blocks)
	}
}
