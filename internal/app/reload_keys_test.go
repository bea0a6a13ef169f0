package app

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"rampspread/internal/testutil"
	"rampspread/internal/testutil/jsonkeys"
)

// zoneRuns records in which zones the requests of a test have run.
type zoneRuns struct {
	mu    sync.Mutex
	zones map[string]map[string]bool // by request ID
}

// script returns the script of a decode replica: it breaks the connection under a request that no replica has run yet,
// which may have run then, and serves any other.
func (z *zoneRuns) script(zone string) testutil.Script {
	serve := testutil.ServeDecode("answer")
	return func(w http.ResponseWriter, r *http.Request, n int) {
		if z.add(r.Header.Get("X-Trace-Id"), zone) {
			panic(http.ErrAbortHandler)
		}
		serve(w, r, n)
	}
}

func (z *zoneRuns) add(id, zone string) (first bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.zones[id] == nil {
		z.zones[id], first = map[string]bool{}, true
	}
	z.zones[id][zone] = true
	return first
}

// inSeveral returns the IDs of the requests that have run in more than one zone.
func (z *zoneRuns) inSeveral() (ids []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for id, zones := range z.zones {
		if len(zones) > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// SIGHUP with a file in which one key was missing used to replace the settings: the missing one counted as zero, and
// without a class's group a request that may have run in one zone ran again in another. Such a file must change
// nothing, whichever key is missing; only a key that the program does not read may be absent.
func TestReloadRejectsFileWithoutAKey(t *testing.T) {
	const keyThatIsNotRead = "settings.telemetry.how"
	runs := &zoneRuns{zones: map[string]map[string]bool{}}
	prefill := testutil.NewReplica(t, testutil.ServePrefill)
	first, second := testutil.NewReplica(t, runs.script("wien")), testutil.NewReplica(t, runs.script("linz"))
	list := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[`+
		`{"instanceId":"p","hostPort":%q,"zone":"wien","machineType":"prefill","lifecycle":"ready","weight":1},`+
		`{"instanceId":"d0","hostPort":%q,"zone":"wien","machineType":"decode-a","lifecycle":"ready","weight":1},`+
		`{"instanceId":"d1","hostPort":%q,"zone":"linz","machineType":"decode-a","lifecycle":"ready","weight":1}]}`,
		prefill.Addr, first.Addr, second.Addr)
	discovery, _ := newDiscoveryAgent(t, list)
	listen := freeAddr(t)
	whole := strings.NewReplacer(
		`"zones":["wien"]`, `"zones":["wien","linz"]`, `"mostTries":4`, `"mostTries":6`,
		`"retryable","group":"all"`, `"dedup","group":"zone"`).Replace(configText(listen, discovery, list))
	config := writeFile(t, "config.json", whole)
	program, out := startProcess(t, "", config)
	awaitReady(t, listen)
	reload := func(text string) (event string) {
		t.Helper()
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		seen := strings.Count(out.String(), "event=reload")
		if err := program.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		testutil.Eventually(t, "the reload", func() bool { return strings.Count(out.String(), "event=reload") > seen })
		lines := strings.Split(out.String(), "\n")
		for i := len(lines) - 1; ; i-- {
			if strings.Contains(lines[i], "event=reload") {
				return lines[i]
			}
		}
	}
	requestsStayInOneZone := func(name string) {
		t.Helper()
		for i := range 6 {
			if status, _ := postRequest(t, listen, fmt.Sprintf("%s-%d", name, i), `{}`); status != http.StatusOK {
				t.Errorf("%s, request %d: status %d", name, i, status)
			}
		}
		if ids := runs.inSeveral(); len(ids) > 0 {
			t.Fatalf("%s: requests ran in two zones: %v", name, ids)
		}
	}
	requestsStayInOneZone("start")
	changed := strings.Replace(whole, `"mostTries":6`, `"mostTries":5`, 1)
	left := 0
	for _, path := range jsonkeys.Paths(t, changed) {
		if path == keyThatIsNotRead || strings.HasPrefix(path, "known.") {
			continue
		}
		left++
		key := path[strings.LastIndex(path, ".")+1:]
		event := reload(jsonkeys.Without(t, changed, path))
		if !strings.Contains(event, "event=reload_failed") || !strings.Contains(event, key) {
			t.Errorf("without %s: %s", path, event)
		}
	}
	const least = 50 // 9 keys of the file and 43 of the settings
	if left < least {
		t.Errorf("only %d keys were left out", left)
	}
	requestsStayInOneZone("refused")
	if event := reload(jsonkeys.Without(t, changed, keyThatIsNotRead)); !strings.Contains(event, "event=reloaded") ||
		!strings.Contains(event, "attempts=5") {
		t.Errorf("a whole file: %s", event)
	}
	requestsStayInOneZone("reloaded")
}
