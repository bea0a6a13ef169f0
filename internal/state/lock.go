package state

import (
	"os"
	"syscall"
	"time"
)

// lockRetryInterval is the time between two attempts to lock the file.
const lockRetryInterval = lockTimeout / 10

// openVerified opens and locks the database file for bbolt, and returns ErrCorrupt unless every page that bbolt would
// read lies entirely within the file. bbolt reads the mapped file through unsafe pointers, so a flipped bit in a length
// can make it read outside the mapping: that causes a fault that recover does not catch, or returns unrelated memory.
func openVerified(path string, flag int, mode os.FileMode) (*os.File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	if err := lockAndVerify(f); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// lockAndVerify locks and then verifies a file. It locks first, because a file that another process is writing may be
// inconsistent. bbolt later locks the same open file description again, which succeeds.
func lockAndVerify(f *os.File) error {
	if err := lockExclusively(f); err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 { // bbolt initializes an empty file
		return nil
	}
	return verifyFile(f, info.Size())
}

// lockExclusively locks a file, or returns ErrLocked after lockTimeout.
func lockExclusively(f *os.File) error {
	for end := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			return nil
		}
		if time.Now().After(end) {
			return ErrLocked
		}
	}
}
