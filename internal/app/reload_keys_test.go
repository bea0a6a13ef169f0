package app

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"rampspread/internal/testutil"
)

// keyPaths returns the paths of the keys of an object, and of the objects and lists in it that are not among the leaves.
func keyPaths(value any, path string, leaves map[string]bool) (paths []string) {
	switch v := value.(type) {
	case map[string]any:
		for key := range v {
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			paths = append(paths, keyPath)
			if !leaves[keyPath] {
				paths = append(paths, keyPaths(v[key], keyPath, leaves)...)
			}
		}
	case []any:
		for i, element := range v {
			paths = append(paths, keyPaths(element, fmt.Sprintf("%s[%d]", path, i), leaves)...)
		}
	}
	return paths
}

// deleteKey deletes the key at a path from a tree of maps and slices.
func deleteKey(value any, path, without string) {
	switch v := value.(type) {
	case map[string]any:
		for key := range v {
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			if keyPath == without {
				delete(v, key)
			} else {
				deleteKey(v[key], keyPath, without)
			}
		}
	case []any:
		for i, element := range v {
			deleteKey(element, fmt.Sprintf("%s[%d]", path, i), without)
		}
	}
}

// withoutKey returns the text of a JSON object without the key at a path.
func withoutKey(t *testing.T, text, path string) string {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(text), &object); err != nil {
		t.Fatal(err)
	}
	deleteKey(object, "", path)
	changed, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return string(changed)
}

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
	var object any
	if err := json.Unmarshal([]byte(changed), &object); err != nil {
		t.Fatal(err)
	}
	paths := keyPaths(object, "", map[string]bool{"known": true})
	for _, path := range paths {
		if path == "settings.telemetry.how" {
			continue // not read
		}
		if event := reload(withoutKey(t, changed, path)); !strings.Contains(event, "event=reload_failed") || !strings.Contains(event, path[strings.LastIndex(path, ".")+1:]) {
			t.Errorf("without %s: %s", path, event)
		}
	}
	if len(paths) < 50 {
		t.Errorf("only %d keys were left out", len(paths))
	}
	requestsStayInOneZone("refused")
	if event := reload(withoutKey(t, changed, "settings.telemetry.how")); !strings.Contains(event, "event=reloaded") ||
		!strings.Contains(event, "attempts=5") {
		t.Errorf("a whole file: %s", event)
	}
	requestsStayInOneZone("reloaded")
}
