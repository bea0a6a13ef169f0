package atomicfile

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"rampspread/internal/hostos"
	"rampspread/internal/testutil"
)

// While writes, syncs or renames fail, the file keeps its old content. The next replacement that succeeds writes its
// whole content, independently of the failed one, which leaves no file behind.
func TestReplaceKeepsOldContentWhileSystemCallsFail(t *testing.T) {
	for _, op := range []hostos.Op{hostos.Write, hostos.Sync, hostos.Rename} {
		for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
			machine, dir := testutil.NewFakeSystem(), t.TempDir()
			path := filepath.Join(dir, "file")
			if err := Replace(machine, path, []byte("first"), Synced); err != nil {
				t.Fatal(err)
			}
			machine.Fail(op, errno)
			if err := Replace(machine, path, []byte("second"), Synced); err == nil {
				t.Errorf("%s with %v: Replace succeeded", op, errno)
			}
			if got, _ := os.ReadFile(path); string(got) != "first" {
				t.Errorf("%s with %v left %q", op, errno, got)
			}
			machine.Fail(op, nil)
			if err := Replace(machine, path, []byte("third"), Synced); err != nil {
				t.Fatal(err)
			}
			if got, _ := os.ReadFile(path); string(got) != "third" {
				t.Errorf("after %s with %v: %q", op, errno, got)
			}
			if files, _ := os.ReadDir(dir); len(files) != 1 {
				t.Errorf("%s with %v: %d files remain", op, errno, len(files))
			}
		}
	}
}
