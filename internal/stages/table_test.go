package stages

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloetrestle/internal/kserve"
)

// The stages of a question, and of what serves it.
const (
	door       = "at the door"
	held       = "held"
	connecting = "connecting"
	reading    = "reading"
	waiting    = "state waiting"
	writing    = "writing before the first token"
	streaming  = "streaming"
	answering  = "giving the answer"
	releasing  = "releasing"
	stopping   = "stopping"
	starting   = "starting again"
	list       = "following the list"
	siblings   = "word among siblings"
	booking    = "booking"
)

// The faults.
const (
	refuses   = "refuses"
	full      = "full"
	dies      = "dies"
	resets    = "resets"
	silent    = "silent"
	slow      = "slow"
	malformed = "malformed"
	cutOff    = "cut off"
	oversized = "oversized"
	doubled   = "doubled or late word"
	leaves    = "client leaves"
	timeUp    = "time is up"
	drains    = "drains or gone"
	cold      = "starts cold"
	killed    = "dispatcher killed"
)

var (
	stages = []string{door, held, connecting, reading, waiting, writing, streaming, answering, releasing, stopping, starting, list, siblings, booking}
	faults = []string{refuses, full, dies, resets, silent, slow, malformed, cutOff, oversized, doubled, leaves, timeUp, drains, cold, killed}
)

// A cell is how a fault is tried at a stage: in virtual time, on sockets, by a test that stands elsewhere, or why it can't happen.
type (
	virtual   struct{}
	socket    run
	elsewhere struct{ folder, test string }
	never     string
)

const (
	noBox   = never("no box takes part")
	noState = never("a state that waits says and does nothing; what its reader does is the reader's column")
	noTime  = never("it has no client's time")
	noHeld  = never("a held question is known to its dispatcher only")
)

// table is every fault at every stage.
var table = map[string]map[string]any{
	door: {
		refuses: elsewhere{"internal/storm", "TestABusyBlockLeavesOthersTheirShare"}, full: elsewhere{"internal/dispatch", "TestRequestsBeyondOpenLimitAreRejected"},
		dies: noBox, resets: socket(asksBadly(`{"text_input":"x","parameters":{"grade"`, 300, true)), silent: socket(asksBadly("", 300, false)),
		slow: elsewhere{"internal/dispatch", "TestInvalidRequestsAreRejectedWithFieldName"}, malformed: elsewhere{"internal/stages", "TestBodiesThatMakeNoSenseAreRefusedByName"},
		cutOff:    socket(asksBadly(`{"text_input":"x"`, 300, true)),
		oversized: elsewhere{"internal/stages", "TestBodiesThatMakeNoSenseAreRefusedByName"}, doubled: elsewhere{"internal/storm", "TestATicketAdmitsOnceAtItsTime"},
		leaves: socket(asksBadly(`{`, 300, true)), timeUp: elsewhere{"internal/dispatch", "TestInvalidRequestsAreRejectedWithFieldName"},
		drains: elsewhere{"internal/dispatch", "TestRejectionCarriesRetryAfter"}, cold: noBox, killed: elsewhere{"internal/day", "TestShortDaysKeepTheRules"},
	},
	held: {
		refuses: noHeld, full: virtual{}, dies: virtual{}, resets: noHeld, silent: noHeld, slow: noHeld, malformed: noHeld, cutOff: noHeld, oversized: noHeld,
		doubled: noHeld, leaves: virtual{}, timeUp: virtual{}, drains: virtual{}, cold: never("questions are held for no one box"), killed: virtual{},
	},
	connecting: {
		refuses: virtual{}, full: socket(fewConnections), dies: elsewhere{"internal/reach", "TestFailureOfAllAddressesIsReportedPromptly"},
		resets: socket(proofs(atProof[resets])), silent: socket(proofs(atProof[silent])), slow: socket(proofs(atProof[slow])),
		malformed: socket(proofs(atProof[malformed])), cutOff: socket(proofs(atProof[cutOff])), oversized: socket(proofs(atProof[oversized])),
		doubled: socket(proofs(atProof[doubled])), leaves: socket(leavesWhileConnecting), timeUp: socket(noTimeToConnect),
		drains: elsewhere{"internal/reach", "TestConnectionsToARemovedAddressAreNotReused"}, cold: never("a connection weighs nothing at a cold box: its trip does"),
		killed: elsewhere{"internal/day", "TestShortDaysKeepTheRules"},
	},
	reading: {
		refuses: virtual{}, full: virtual{}, dies: virtual{}, resets: socket(asked("reader", atReader[resets])), silent: virtual{}, slow: virtual{},
		malformed: socket(asked("reader", atReader[malformed])), cutOff: socket(asked("reader", atReader[cutOff])),
		oversized: socket(asked("reader", atReader[oversized])), doubled: socket(asked("reader", atReader[doubled])),
		leaves: virtual{}, timeUp: virtual{}, drains: virtual{}, cold: virtual{}, killed: virtual{},
	},
	waiting: {
		refuses: noState, full: elsewhere{"internal/engine", "TestStatesWaitMoveExpireAndAreLetGo"}, dies: virtual{}, resets: noState, silent: noState, slow: virtual{}, malformed: noState, cutOff: virtual{}, oversized: noState,
		doubled: elsewhere{"internal/dispatch", "TestKVCacheIsReleasedAfterFailedTransfer"}, leaves: virtual{},
		timeUp: socket(asked("writer", func(c *call) { c.told(503, kserve.OutcomeFull) })), drains: virtual{}, cold: virtual{}, killed: virtual{},
	},
	writing: {
		refuses: virtual{}, full: virtual{}, dies: virtual{}, resets: virtual{}, silent: virtual{}, slow: socket(asked("writer", atWriter[slow])),
		malformed: socket(asked("writer", atWriter[malformed])), cutOff: socket(asked("writer", atWriter[cutOff])),
		oversized: socket(asked("writer", atWriter[oversized])), doubled: virtual{},
		leaves: virtual{}, timeUp: virtual{}, drains: virtual{}, cold: virtual{}, killed: virtual{},
	},
	streaming: {
		refuses: socket(asked("writer", begun(inStream[refuses]))), full: socket(asked("writer", begun(inStream[full]))), dies: virtual{}, resets: virtual{},
		silent: socket(asked("writer", begun(inStream[silent]))), slow: virtual{}, malformed: socket(asked("writer", begun(inStream[malformed]))),
		cutOff: socket(asked("writer", begun(inStream[cutOff]))), oversized: socket(asked("writer", begun(inStream[oversized]))),
		doubled: socket(asked("writer", begun(inStream[doubled]))), leaves: virtual{}, timeUp: never("a stream that has begun has no deadline"),
		drains: virtual{}, cold: virtual{}, killed: virtual{},
	},
	answering: {
		refuses: noBox, full: never("an answer needs no room"), dies: noBox, resets: elsewhere{"internal/dispatch", "TestBrokenStreamEndsWithErrorEvent"}, silent: elsewhere{"internal/stages", "TestAClientThatTakesNoAnswerIsLetGo"},
		slow: elsewhere{"internal/dispatch", "TestSlowClientAppliesBackpressureAndIsDisconnected"}, malformed: noBox, cutOff: elsewhere{"internal/dispatch", "TestBrokenStreamEndsWithErrorEvent"},
		oversized: elsewhere{"internal/stages", "TestAnAnswerTooLongToGatherIsForfeited"}, doubled: elsewhere{"internal/dispatch", "TestWholeAnswerAfterAttemptTimeoutIsNotServed"},
		leaves: elsewhere{"internal/dispatch", "TestClientDisconnectMidStreamCancelsAttempt"}, timeUp: elsewhere{"internal/dispatch", "TestOverdueRequestFails"},
		drains: noBox, cold: noBox, killed: elsewhere{"internal/day", "TestShortDaysKeepTheRules"},
	},
	releasing: {
		refuses: socket(releases(atRelease[refuses])), full: socket(releases(atRelease[full])), dies: elsewhere{"internal/dispatch", "TestBackendMissingFromCompleteListIsRemoved"},
		resets: socket(releases(atRelease[resets])), silent: socket(releases(atRelease[silent])), slow: socket(releases(atRelease[slow])),
		malformed: socket(releases(atRelease[malformed])), cutOff: socket(releases(atRelease[cutOff])), oversized: socket(releases(atRelease[oversized])),
		doubled: socket(releases(atRelease[doubled])), leaves: socket(leavesBeforeItsRead), timeUp: elsewhere{"internal/dispatch", "TestTimedOutPrefillEndsOnceAndIsReleased"},
		drains: elsewhere{"internal/dispatch", "TestBackendMissingFromCompleteListIsRemoved"}, cold: never("a cold start has no states"), killed: elsewhere{"internal/engine", "TestStatesWaitMoveExpireAndAreLetGo"},
	},
	stopping: {
		refuses: socket(stops("writer", atWriter[refuses])), full: socket(stops("writer", atWriter[full])), dies: socket(stops("writer", atWriter[resets])),
		resets: socket(stops("reader", atReader[resets])), silent: socket(stops("writer", func(c *call) { <-c.r.Context().Done() })),
		slow: socket(stops("writer", begun(inStream[slow]))), malformed: socket(stops("writer", atWriter[malformed])), cutOff: socket(stops("writer", atWriter[cutOff])),
		oversized: socket(stops("writer", begun(inStream[oversized]))), doubled: socket(stops("writer", begun(inStream[doubled]))),
		leaves: socket(leavesWhileStopping), timeUp: elsewhere{"internal/dispatch", "TestGracefulShutdownTimeoutFailsOpenRequests"}, drains: never("a list's word changes nothing for what is out"),
		cold: never("nothing new is sent to a cold box that held questions do not send"), killed: elsewhere{"internal/day", "TestShortDaysKeepTheRules"},
	},
	starting: {
		refuses: socket(startsWithoutAList), full: elsewhere{"internal/ledger", "TestAFullOrFailingDisk"}, dies: noBox, resets: noBox, silent: socket(startsWithoutAList),
		slow: noBox, malformed: socket(startsWith(`{"saved_unix_ms":` + `"then"}`)), cutOff: socket(startsWith(`{"saved_unix_ms":1,"push":{"version":3,"boxes":[{"na`)),
		oversized: socket(startsWith(`{"saved_unix_ms":1,"push":{"whole":true,"boxes":[{"name":"` + strings.Repeat("n", 1<<20) + `","standing":"ready"}]}}`)),
		doubled:   socket(startsWith(`{"saved_unix_ms":1,"push":{"version":900,"whole":true,"boxes":[{"name":"a","standing":"ready"},{"name":"a","standing":"gone"}]}}`)),
		leaves:    noTime, timeUp: noTime, drains: elsewhere{"internal/boxlist", "TestFullListIsFetchedAfterAGapAndSaved"}, cold: elsewhere{"internal/fleet", "TestDaysKeepTheRulesInVirtualTime"}, killed: virtual{},
	},
	list: {
		refuses: elsewhere{"internal/boxlist", "TestFullListIsFetchedAfterAGapAndSaved"}, full: elsewhere{"internal/boxlist", "TestInvalidLineLeavesItsEndpointUnchanged"},
		dies: elsewhere{"internal/day", "TestShortDaysKeepTheRules"}, resets: socket(lists(func(*site) string { return `{"version":` })), silent: virtual{}, slow: virtual{},
		malformed: socket(lists(func(*site) string { return `{"version":1,"base":1,"boxes":[{"name":7}]}` })), cutOff: virtual{},
		oversized: socket(lists(func(*site) string { return `{"version":2,"base":1,"x":"` + strings.Repeat("x", 17<<20) + `"}` })),
		doubled:   socket(lists(func(s *site) string { return `{"version":0,"base":1,"boxes":[]}` })), leaves: noTime, timeUp: noTime, drains: virtual{},
		cold: elsewhere{"internal/dispatch", "TestRelistedBackendStartKeepsItsTime"}, killed: elsewhere{"internal/day", "TestShortDaysKeepTheRules"},
	},
	siblings: {
		refuses: socket(words(nil)), full: never("datagrams that find no room are lost, as any may be"), dies: socket(words(nil)), resets: never("a datagram has no connection"),
		silent: elsewhere{"internal/budget", "TestAQuestionIsNotHeldForAKeeperThatIsSilent"}, slow: elsewhere{"internal/budget", "TestNoInterleavingOfLeasesOvershootsTheStatedBound"},
		malformed: socket(words([]byte{9, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9})), cutOff: socket(words([]byte{1, 0})), oversized: socket(words(make([]byte, 3000))),
		doubled: elsewhere{"internal/budget", "TestNoInterleavingOfLeasesOvershootsTheStatedBound"}, leaves: noTime, timeUp: noTime, drains: noBox,
		cold: elsewhere{"brain", "TestPeerUpdateOfUnreachableBackendCausesSlowStart"}, killed: elsewhere{"internal/budget", "TestARateGoesOnWithoutItsKeeperInEqualParts"},
	},
	booking: {
		refuses: elsewhere{"internal/storm", "TestRetriesAreSpreadOverFreeCapacity"}, full: elsewhere{"internal/budget", "TestWhatIsUsedUpIsDeclinedWithTheTimeOfItsRenewal"},
		dies: elsewhere{"internal/ledger", "TestAFullOrFailingDisk"}, resets: noBox, silent: elsewhere{"internal/budget", "TestAQuestionIsNotHeldForAKeeperThatIsSilent"},
		slow: elsewhere{"internal/budget", "TestAQuestionIsNotHeldForAKeeperThatIsSilent"}, malformed: socket(tickets("!!")), cutOff: elsewhere{"internal/ledger", "TestTheJournalOutlivesACrashAtEveryStep"},
		oversized: socket(tickets(strings.Repeat("A", 500))), doubled: elsewhere{"internal/storm", "TestATicketAdmitsOnceAtItsTime"},
		leaves: elsewhere{"internal/storm", "TestThrottleUnderRandomTries"}, timeUp: elsewhere{"internal/storm", "TestATicketAdmitsOnceAtItsTime"}, drains: noBox, cold: noBox,
		killed: elsewhere{"internal/budget", "TestARestartGivesNoNewEmergencyPart"},
	},
}

// Every cell that can happen is tried, on its own count of what struck, and all five rules are judged by the far ends' record.
func TestEveryFaultAtEveryStage(t *testing.T) {
	met, err := played()
	if err != nil {
		t.Fatal(err)
	}
	for _, stage := range stages {
		for _, fault := range faults {
			switch c := table[stage][fault].(type) {
			case nil:
				t.Errorf("%s, %s: neither tried nor said why it can't happen", stage, fault)
			case virtual:
				if met[[2]string{stage, fault}] == 0 {
					t.Errorf("%s, %s: it never struck in virtual time", stage, fault)
				}
			case elsewhere:
				if !stands(t, c) {
					t.Errorf("%s, %s: there is no test %s in %s", stage, fault, c.test, c.folder)
				}
			case socket:
				t.Run(stage+"/"+fault, func(t *testing.T) {
					t.Parallel()
					var do func()
					s := open(t, func(s *site) { do = c(s) })
					do()
					s.rules()
				})
			}
		}
	}
}

// stands tells whether a test is there.
func stands(t *testing.T, c elsewhere) bool {
	files, err := filepath.Glob(filepath.Join("../..", c.folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if raw, err := os.ReadFile(f); err == nil && strings.Contains(string(raw), "\nfunc "+c.test+"(") {
			return true
		}
	}
	return false
}
