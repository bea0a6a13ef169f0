// Package statetransfer lets a process begin with what another of the same name on the same machine has learnt: one that it is to take the
// place of, or its own earlier life. They share a folder, which need not outlive the machine. The one that starts asks by a
// file; the one that serves answers by a file that is replaced whole.
package statetransfer

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"rampspread/internal/state/atomicfile"
	"rampspread/internal/system"
	"rampspread/routing"
)

const (
	magic = "rampspread beliefs 1\n"
	// MaxBytes bounds a file in bytes.
	MaxBytes = 4 << 20
	// MaxPrefixes bounds the number of prefix entries in a file.
	MaxPrefixes = 10_000

	lookEvery = 500 * time.Millisecond // whether somebody asks
	// Unasked, what is known is left so often: a process that is killed has no time to.
	leaveEvery = 5 * time.Second
	askEvery   = 50 * time.Millisecond // whether the answer is there,
	askFor     = 2 * time.Second       // for so long
)

// ErrUnusable says that what was handed over is of no use: another member's, of other settings, spoilt, or of a later program.
var ErrUnusable = errors.New("handover: void")

// Exchange is where a process finds what another of its name left, and leaves its own.
type Exchange struct {
	Dir  string
	Name string
	// Settings is the fingerprint of the settings: what was learnt under others is void.
	Settings uint64
	// Machine is on which it is.
	Machine system.System
}

func (p Exchange) file(kind string) string {
	name := strings.Map(func(r rune) rune { // a name is no path
		if r == os.PathSeparator || r < ' ' {
			return '_'
		}
		return r
	}, p.Name)
	return filepath.Join(p.Dir, "rampspread-"+name+kind)
}

// Encode packs beliefs, with a checksum behind them.
func (p Exchange) Encode(b routing.Snapshot) ([]byte, error) {
	var out bytes.Buffer
	e := gob.NewEncoder(&out)
	if err := errors.Join(e.Encode(header{Name: p.Name, Settings: p.Settings}), e.Encode(newSnapshotRecord(b))); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return atomicfile.Seal(magic, out.Bytes()), nil
}

// Decode reads what Encode packed; ErrVoid: it is of no use here.
func (p Exchange) Decode(text []byte) (b routing.Snapshot, err error) {
	if len(text) > MaxBytes {
		return b, fmt.Errorf("%w: over %d bytes", ErrUnusable, MaxBytes)
	}
	body, err := atomicfile.Open(magic, text)
	if err != nil {
		return b, fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	d := gob.NewDecoder(bytes.NewReader(body))
	var h header
	if err := d.Decode(&h); err != nil {
		return b, fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	if h.Name != p.Name || h.Settings != p.Settings {
		return b, fmt.Errorf("%w: it is %q's, or of other settings", ErrUnusable, h.Name)
	}
	var snapshot snapshotRecord
	if err := d.Decode(&snapshot); err != nil {
		return b, fmt.Errorf("%w: %w", ErrUnusable, err)
	}
	return snapshot.beliefs(), nil
}

// Write replaces what is left for others, whole.
func (p Exchange) Write(b routing.Snapshot) error {
	text, err := p.Encode(b)
	if err != nil {
		return err
	}
	if len(text) > MaxBytes {
		return fmt.Errorf("handover: %d bytes, at most %d", len(text), MaxBytes)
	}
	if err := atomicfile.Replace(p.Machine, p.file(".beliefs"), text, false); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Read reads what was left; fs.ErrNotExist: nothing was.
func (p Exchange) Read() (routing.Snapshot, error) {
	text, err := atomicfile.Read(p.file(".beliefs"), MaxBytes)
	switch {
	case errors.Is(err, atomicfile.ErrCorrupt):
		return routing.Snapshot{}, fmt.Errorf("%w: %w", ErrUnusable, err)
	case err != nil:
		return routing.Snapshot{}, fmt.Errorf("handover: %w", err)
	}
	return p.Decode(text)
}

// Request takes what was left, and asks a process of the same name that may be serving for what it knows now. Learn is called with
// each that is found, once or twice.
func (p Exchange) Request(ctx context.Context, learn func(routing.Snapshot)) {
	var last time.Duration
	find := func() bool {
		b, err := p.Read()
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			slog.Warn("handover_refused", "err", err)
		case b.TakenAt > last:
			last = b.TakenAt
			slog.Info("handover", "texts", len(b.Prefixes), "servers", len(b.Endpoints))
			learn(b)
			return true
		}
		return false
	}
	find()
	if err := os.WriteFile(p.file(".ask"), nil, 0o600); err != nil {
		slog.Warn("handover_ask", "err", err)
		return
	}
	defer os.Remove(p.file(".ask"))
	over := time.NewTimer(askFor)
	defer over.Stop()
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if _, err := os.Stat(p.file(".ask")); err != nil { // it was answered
				find()
				return
			}
		case <-over.C:
			return // nobody serves
		case <-ctx.Done():
			return
		}
	}
}

// Serve leaves what tell returns whenever somebody asks, and now and then unasked, until the context ends. A process answers once
// it has asked itself.
func (p Exchange) Serve(ctx context.Context, tell func() (routing.Snapshot, bool)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	left := time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if _, err := os.Stat(p.file(".ask")); err != nil && time.Since(left) < leaveEvery {
			continue
		}
		left = time.Now()
		if b, ok := tell(); ok {
			if err := p.Write(b); err != nil {
				slog.Warn("handover_leave", "err", err)
			}
			os.Remove(p.file(".ask"))
		}
	}
}
