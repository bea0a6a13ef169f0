package state

import (
	"os"
	"syscall"
	"time"
)

// lockRetryInterval is the pause between two attempts to lock the file.
const lockRetryInterval = lockTimeout / 10

// openVerified opens the database's file for bbolt, locked, and only if every page that bbolt would follow lies whole
// inside the file. bbolt reads its file through unsafe pointers, so a flipped bit in a length leads it out of the
// file's mapping: to a fault that no recover stops, or to whatever memory lies there.
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

// lockAndVerify locks first, for a file that another process is writing need not be whole. bbolt locks the same open file
// description again, which succeeds.
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
