package faultmatrix

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloetrestle/internal/kserve"
)

// The stages of a request, and of what serves it.
const (
	frontend     = "HTTP frontend"
	queued       = "queued"
	connecting   = "connecting"
	prefilling   = "prefill"
	cacheHeld    = "KV cache held"
	decoding     = "decode before the first token"
	streaming    = "streaming"
	responding   = "sending the answer"
	releasing    = "releasing"
	shuttingDown = "graceful shutdown"
	restarting   = "restart"
	discovery    = "service discovery"
	peers        = "peer updates"
	accounting   = "budgets and journal"
)

// The faults.
const (
	fails            = "fails"
	full             = "full"
	crashes          = "crashes"
	resets           = "resets"
	hangs            = "hangs"
	slow             = "slow"
	malformed        = "malformed"
	truncated        = "cut off"
	oversized        = "oversized"
	duplicated       = "duplicated or late message"
	clientLeaves     = "client disconnects"
	timesOut         = "deadline or timeout passes"
	drained          = "draining or removed"
	coldStart        = "slow start"
	dispatcherKilled = "dispatcher killed"
)

var (
	stages = []string{
		frontend, queued, connecting, prefilling, cacheHeld, decoding, streaming, responding, releasing,
		shuttingDown, restarting, discovery, peers, accounting,
	}
	faults = []string{
		fails, full, crashes, resets, hangs, slow, malformed, truncated, oversized, duplicated,
		clientLeaves, timesOut, drained, coldStart, dispatcherKilled,
	}
)

// A cell of the table says how a fault is tested at a stage: in virtual time, over sockets, by a named test in a
// folder, or the reason why it cannot happen.
type (
	virtualTime struct{}
	overSockets setupFunc
	testedIn    struct{ folder, test string }
	impossible  string
)

const (
	noBackend        = impossible("no backend takes part")
	passiveCache     = impossible("a held KV cache sends nothing; faults of its prefill backend are in the row of prefill")
	noClientDeadline = impossible("no client takes part, so none leaves and no deadline passes")
	queuedLocally    = impossible("a queued request is known to its dispatcher only")
)

// table has a cell for every fault at every stage.
var table = map[string]map[string]any{
	frontend: {
		fails:            testedIn{"internal/retrythrottle", "TestABusyBlockLeavesOthersTheirShare"},
		full:             testedIn{"internal/dispatch", "TestRequestsBeyondOpenLimitAreRejected"},
		crashes:          noBackend,
		resets:           overSockets(incompleteBodies(`{"text_input":"x","parameters":{"grade"`, 300, true)),
		hangs:            overSockets(incompleteBodies("", 300, false)),
		slow:             testedIn{"internal/dispatch", "TestInvalidRequestsAreRejectedWithFieldName"},
		malformed:        testedIn{"internal/faultmatrix", "TestInvalidBodiesAreRejectedWithFieldName"},
		truncated:        overSockets(incompleteBodies(`{"text_input":"x"`, 300, true)),
		oversized:        testedIn{"internal/faultmatrix", "TestInvalidBodiesAreRejectedWithFieldName"},
		duplicated:       testedIn{"internal/retrythrottle", "TestATicketAdmitsOnceAtItsTime"},
		clientLeaves:     overSockets(incompleteBodies(`{`, 300, true)),
		timesOut:         testedIn{"internal/dispatch", "TestInvalidRequestsAreRejectedWithFieldName"},
		drained:          testedIn{"internal/dispatch", "TestRejectionCarriesRetryAfter"},
		coldStart:        noBackend,
		dispatcherKilled: testedIn{"internal/day", "TestShortScenariosPassAllRules"},
	},
	queued: {
		fails:            queuedLocally,
		full:             virtualTime{},
		crashes:          virtualTime{},
		resets:           queuedLocally,
		hangs:            queuedLocally,
		slow:             queuedLocally,
		malformed:        queuedLocally,
		truncated:        queuedLocally,
		oversized:        queuedLocally,
		duplicated:       queuedLocally,
		clientLeaves:     virtualTime{},
		timesOut:         virtualTime{},
		drained:          virtualTime{},
		coldStart:        impossible("requests are not queued for a single backend"),
		dispatcherKilled: virtualTime{},
	},
	connecting: {
		fails:            virtualTime{},
		full:             overSockets(fewConnections),
		crashes:          testedIn{"internal/connpool", "TestFailureOfAllAddressesIsReportedPromptly"},
		resets:           overSockets(faultyProbes(probeFaults[resets])),
		hangs:            overSockets(faultyProbes(probeFaults[hangs])),
		slow:             overSockets(faultyProbes(probeFaults[slow])),
		malformed:        overSockets(faultyProbes(probeFaults[malformed])),
		truncated:        overSockets(faultyProbes(probeFaults[truncated])),
		oversized:        overSockets(faultyProbes(probeFaults[oversized])),
		duplicated:       overSockets(faultyProbes(probeFaults[duplicated])),
		clientLeaves:     overSockets(clientsLeaveWhileConnecting),
		timesOut:         overSockets(deadlinePassesWhileConnecting),
		drained:          testedIn{"internal/connpool", "TestConnectionsToARemovedAddressAreNotReused"},
		coldStart:        impossible("slow start limits attempts, not connections"),
		dispatcherKilled: testedIn{"internal/day", "TestShortScenariosPassAllRules"},
	},
	prefilling: {
		fails:            virtualTime{},
		full:             virtualTime{},
		crashes:          virtualTime{},
		resets:           overSockets(requestsDuring("reader", prefillFaults[resets])),
		hangs:            virtualTime{},
		slow:             virtualTime{},
		malformed:        overSockets(requestsDuring("reader", prefillFaults[malformed])),
		truncated:        overSockets(requestsDuring("reader", prefillFaults[truncated])),
		oversized:        overSockets(requestsDuring("reader", prefillFaults[oversized])),
		duplicated:       overSockets(requestsDuring("reader", prefillFaults[duplicated])),
		clientLeaves:     virtualTime{},
		timesOut:         virtualTime{},
		drained:          virtualTime{},
		coldStart:        virtualTime{},
		dispatcherKilled: virtualTime{},
	},
	cacheHeld: {
		fails:            passiveCache,
		full:             testedIn{"internal/engine", "TestHeldKVCacheIsFetchedOnceAndExpires"},
		crashes:          virtualTime{},
		resets:           passiveCache,
		hangs:            passiveCache,
		slow:             virtualTime{},
		malformed:        passiveCache,
		truncated:        virtualTime{},
		oversized:        passiveCache,
		duplicated:       testedIn{"internal/dispatch", "TestKVCacheIsReleasedAfterFailedTransfer"},
		clientLeaves:     virtualTime{},
		timesOut:         overSockets(requestsDuring("writer", func(c *call) { c.respond(503, kserve.OutcomeFull) })),
		drained:          virtualTime{},
		coldStart:        virtualTime{},
		dispatcherKilled: virtualTime{},
	},
	decoding: {
		fails:            virtualTime{},
		full:             virtualTime{},
		crashes:          virtualTime{},
		resets:           virtualTime{},
		hangs:            virtualTime{},
		slow:             overSockets(requestsDuring("writer", decodeFaults[slow])),
		malformed:        overSockets(requestsDuring("writer", decodeFaults[malformed])),
		truncated:        overSockets(requestsDuring("writer", decodeFaults[truncated])),
		oversized:        overSockets(requestsDuring("writer", decodeFaults[oversized])),
		duplicated:       virtualTime{},
		clientLeaves:     virtualTime{},
		timesOut:         virtualTime{},
		drained:          virtualTime{},
		coldStart:        virtualTime{},
		dispatcherKilled: virtualTime{},
	},
	streaming: {
		fails:            overSockets(requestsDuring("writer", afterStreamStart(streamFaults[fails]))),
		full:             overSockets(requestsDuring("writer", afterStreamStart(streamFaults[full]))),
		crashes:          virtualTime{},
		resets:           virtualTime{},
		hangs:            overSockets(requestsDuring("writer", afterStreamStart(streamFaults[hangs]))),
		slow:             virtualTime{},
		malformed:        overSockets(requestsDuring("writer", afterStreamStart(streamFaults[malformed]))),
		truncated:        overSockets(requestsDuring("writer", afterStreamStart(streamFaults[truncated]))),
		oversized:        overSockets(requestsDuring("writer", afterStreamStart(streamFaults[oversized]))),
		duplicated:       overSockets(requestsDuring("writer", afterStreamStart(streamFaults[duplicated]))),
		clientLeaves:     virtualTime{},
		timesOut:         impossible("a stream that has begun has no deadline"),
		drained:          virtualTime{},
		coldStart:        virtualTime{},
		dispatcherKilled: virtualTime{},
	},
	responding: {
		fails:            noBackend,
		full:             impossible("an answer needs no free capacity"),
		crashes:          noBackend,
		resets:           testedIn{"internal/dispatch", "TestBrokenStreamEndsWithErrorEvent"},
		hangs:            testedIn{"internal/faultmatrix", "TestClientThatReadsNoAnswerIsDisconnected"},
		slow:             testedIn{"internal/dispatch", "TestSlowClientAppliesBackpressureAndIsDisconnected"},
		malformed:        noBackend,
		truncated:        testedIn{"internal/dispatch", "TestBrokenStreamEndsWithErrorEvent"},
		oversized:        testedIn{"internal/faultmatrix", "TestUnaryAnswerBeyondSizeLimitFails"},
		duplicated:       testedIn{"internal/dispatch", "TestWholeAnswerAfterAttemptTimeoutIsNotServed"},
		clientLeaves:     testedIn{"internal/dispatch", "TestClientDisconnectMidStreamCancelsAttempt"},
		timesOut:         testedIn{"internal/dispatch", "TestOverdueRequestFails"},
		drained:          noBackend,
		coldStart:        noBackend,
		dispatcherKilled: testedIn{"internal/day", "TestShortScenariosPassAllRules"},
	},
	releasing: {
		fails:            overSockets(faultyReleases(releaseFaults[fails])),
		full:             overSockets(faultyReleases(releaseFaults[full])),
		crashes:          testedIn{"internal/dispatch", "TestBackendMissingFromCompleteListIsRemoved"},
		resets:           overSockets(faultyReleases(releaseFaults[resets])),
		hangs:            overSockets(faultyReleases(releaseFaults[hangs])),
		slow:             overSockets(faultyReleases(releaseFaults[slow])),
		malformed:        overSockets(faultyReleases(releaseFaults[malformed])),
		truncated:        overSockets(faultyReleases(releaseFaults[truncated])),
		oversized:        overSockets(faultyReleases(releaseFaults[oversized])),
		duplicated:       overSockets(faultyReleases(releaseFaults[duplicated])),
		clientLeaves:     overSockets(clientsLeaveDuringPrefill),
		timesOut:         testedIn{"internal/dispatch", "TestTimedOutPrefillEndsOnceAndIsReleased"},
		drained:          testedIn{"internal/dispatch", "TestBackendMissingFromCompleteListIsRemoved"},
		coldStart:        impossible("a backend that starts holds no KV caches"),
		dispatcherKilled: testedIn{"internal/engine", "TestHeldKVCacheIsFetchedOnceAndExpires"},
	},
	shuttingDown: {
		fails:            overSockets(stopsDuring("writer", decodeFaults[fails])),
		full:             overSockets(stopsDuring("writer", decodeFaults[full])),
		crashes:          overSockets(stopsDuring("writer", decodeFaults[resets])),
		resets:           overSockets(stopsDuring("reader", prefillFaults[resets])),
		hangs:            overSockets(stopsDuring("writer", func(c *call) { <-c.r.Context().Done() })),
		slow:             overSockets(stopsDuring("writer", afterStreamStart(streamFaults[slow]))),
		malformed:        overSockets(stopsDuring("writer", decodeFaults[malformed])),
		truncated:        overSockets(stopsDuring("writer", decodeFaults[truncated])),
		oversized:        overSockets(stopsDuring("writer", afterStreamStart(streamFaults[oversized]))),
		duplicated:       overSockets(stopsDuring("writer", afterStreamStart(streamFaults[duplicated]))),
		clientLeaves:     overSockets(clientsLeaveDuringShutdown),
		timesOut:         testedIn{"internal/dispatch", "TestGracefulShutdownTimeoutFailsOpenRequests"},
		drained:          impossible("a change of the endpoint list does not affect attempts in flight"),
		coldStart:        impossible("during shutdown only queued requests are sent to a backend in slow start"),
		dispatcherKilled: testedIn{"internal/day", "TestShortScenariosPassAllRules"},
	},
	restarting: {
		fails:     overSockets(startsWithoutDiscovery),
		full:      testedIn{"internal/ledger", "TestAppendToFullOrFailingDisk"},
		crashes:   noBackend,
		resets:    noBackend,
		hangs:     overSockets(startsWithoutDiscovery),
		slow:      noBackend,
		malformed: overSockets(startsWithCachedList(`{"saved_unix_ms":` + `"then"}`)),
		truncated: overSockets(startsWithCachedList(`{"saved_unix_ms":1,"push":{"version":3,"boxes":[{"na`)),
		oversized: overSockets(startsWithCachedList(`{"saved_unix_ms":1,"push":{"whole":true,"boxes":[{"name":"` +
			strings.Repeat("n", 1<<20) + `","standing":"ready"}]}}`)),
		duplicated: overSockets(startsWithCachedList(`{"saved_unix_ms":1,"push":{"version":900,"whole":true,` +
			`"boxes":[{"name":"a","standing":"ready"},{"name":"a","standing":"gone"}]}}`)),
		clientLeaves:     noClientDeadline,
		timesOut:         noClientDeadline,
		drained:          testedIn{"internal/endpointlist", "TestFullListIsFetchedAfterAGapAndSaved"},
		coldStart:        testedIn{"internal/fleet", "TestScenariosKeepTheRulesInVirtualTime"},
		dispatcherKilled: virtualTime{},
	},
	discovery: {
		fails:   testedIn{"internal/endpointlist", "TestFullListIsFetchedAfterAGapAndSaved"},
		full:    testedIn{"internal/endpointlist", "TestInvalidLineLeavesItsEndpointUnchanged"},
		crashes: testedIn{"internal/day", "TestShortScenariosPassAllRules"},
		resets:  overSockets(invalidDiscoveryLine(func(*testCluster) string { return `{"version":` })),
		hangs:   virtualTime{},
		slow:    virtualTime{},
		malformed: overSockets(invalidDiscoveryLine(func(*testCluster) string {
			return `{"version":1,"base":1,"boxes":[{"name":7}]}`
		})),
		truncated: virtualTime{},
		oversized: overSockets(invalidDiscoveryLine(func(*testCluster) string {
			return `{"version":2,"base":1,"x":"` + strings.Repeat("x", 17<<20) + `"}`
		})),
		duplicated: overSockets(invalidDiscoveryLine(func(s *testCluster) string {
			return `{"version":0,"base":1,"boxes":[]}`
		})),
		clientLeaves:     noClientDeadline,
		timesOut:         noClientDeadline,
		drained:          virtualTime{},
		coldStart:        testedIn{"internal/dispatch", "TestRelistedBackendStartKeepsItsTime"},
		dispatcherKilled: testedIn{"internal/day", "TestShortScenariosPassAllRules"},
	},
	peers: {
		fails:            overSockets(peerDatagrams(nil)),
		full:             impossible("a datagram beyond the buffer is lost, as any datagram may be"),
		crashes:          overSockets(peerDatagrams(nil)),
		resets:           impossible("a datagram has no connection"),
		hangs:            testedIn{"internal/budget", "TestRequestDoesNotWaitForSilentOwner"},
		slow:             testedIn{"internal/budget", "TestNoInterleavingOfLeasesExceedsTheBound"},
		malformed:        overSockets(peerDatagrams([]byte{9, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9})),
		truncated:        overSockets(peerDatagrams([]byte{1, 0})),
		oversized:        overSockets(peerDatagrams(make([]byte, 3000))),
		duplicated:       testedIn{"internal/budget", "TestNoInterleavingOfLeasesExceedsTheBound"},
		clientLeaves:     noClientDeadline,
		timesOut:         noClientDeadline,
		drained:          noBackend,
		coldStart:        testedIn{"scheduler", "TestPeerUpdateOfUnreachableBackendCausesSlowStart"},
		dispatcherKilled: testedIn{"internal/budget", "TestRateIsSplitEquallyWithoutOwner"},
	},
	accounting: {
		fails:            testedIn{"internal/retrythrottle", "TestRetriesAreSpreadOverFreeCapacity"},
		full:             testedIn{"internal/budget", "TestExhaustedBudgetRejectsUntilRenewal"},
		crashes:          testedIn{"internal/ledger", "TestAppendToFullOrFailingDisk"},
		resets:           noBackend,
		hangs:            testedIn{"internal/budget", "TestRequestDoesNotWaitForSilentOwner"},
		slow:             testedIn{"internal/budget", "TestRequestDoesNotWaitForSilentOwner"},
		malformed:        overSockets(forgedTickets("!!")),
		truncated:        testedIn{"internal/ledger", "TestJournalSurvivesCrashAtEveryStep"},
		oversized:        overSockets(forgedTickets(strings.Repeat("A", 500))),
		duplicated:       testedIn{"internal/retrythrottle", "TestATicketAdmitsOnceAtItsTime"},
		clientLeaves:     testedIn{"internal/retrythrottle", "TestThrottleUnderRandomTries"},
		timesOut:         testedIn{"internal/retrythrottle", "TestATicketAdmitsOnceAtItsTime"},
		drained:          noBackend,
		coldStart:        noBackend,
		dispatcherKilled: testedIn{"internal/budget", "TestRestartGivesNoNewEmergencyPart"},
	},
}

// Every cell that can happen is tested, with its own count of faults that took effect, and all five rules are
// checked on what clients and backends recorded.
func TestEveryFaultAtEveryStage(t *testing.T) {
	counts, err := playScenarios()
	if err != nil {
		t.Fatal(err)
	}
	for _, stage := range stages {
		for _, fault := range faults {
			switch cell := table[stage][fault].(type) {
			case nil:
				t.Errorf("%s, %s: neither tested nor given a reason why it cannot happen", stage, fault)
			case virtualTime:
				if counts[[2]string{stage, fault}] == 0 {
					t.Errorf("%s, %s: the fault never took effect in virtual time", stage, fault)
				}
			case testedIn:
				if !testExists(t, cell) {
					t.Errorf("%s, %s: there is no test %s in %s", stage, fault, cell.test, cell.folder)
				}
			case overSockets:
				t.Run(stage+"/"+fault, func(t *testing.T) {
					t.Parallel()
					var play func()
					s := startCluster(t, func(s *testCluster) { play = cell(s) })
					play()
					s.checkRules()
				})
			}
		}
	}
}

// testExists reports whether the folder has a test of that name.
func testExists(t *testing.T, cell testedIn) bool {
	files, err := filepath.Glob(filepath.Join("../..", cell.folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if raw, err := os.ReadFile(file); err == nil && strings.Contains(string(raw), "\nfunc "+cell.test+"(") {
			return true
		}
	}
	return false
}
