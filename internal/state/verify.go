package state

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"syscall"
	"time"
)

// Layout of a bbolt file, version 2, as go.etcd.io/bbolt documents it. Numbers are in the machine's order; the program runs on
// little-endian machines only.
const (
	boltMagic   = 0xED0CDAED
	boltVersion = 2
	pageHeader  = 16 // id 8, flags 2, count 2, overflow 4
	element     = 16
	metaSize    = 64 // magic, version, page size, flags, root bucket 16, freelist 8, high water mark 8, transaction 8, checksum 8
	flagBranch  = 0x01
	flagLeaf    = 0x02
	flagMeta    = 0x04
	flagFree    = 0x10
	isBucket    = 0x01
	noFreelist  = ^uint64(0)
	leastPage   = 1 << 10
	mostPage    = 1 << 16
	mostDepth   = 32
)

// openChecked opens the database's file for bbolt, alone, and only if every page that bbolt would follow lies whole inside the
// file. bbolt reads its file through unsafe pointers, so a flipped bit in a length leads it out of the file's mapping: to a
// fault that no recover stops, or to whatever memory lies there.
func openChecked(path string, flag int, mode os.FileMode) (*os.File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	// The lock comes first, for a file that another process is writing need not be whole. bbolt locks the same description again.
	for end := time.Now().Add(lockWait); ; time.Sleep(lockWait / 10) {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			break
		}
		if time.Now().After(end) {
			f.Close()
			return nil, ErrLocked
		}
	}
	info, err := f.Stat()
	if err == nil && info.Size() > 0 { // an empty file is one that bbolt is to make
		err = verify(f, info.Size())
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// tree is what verify knows of a file while it walks through it.
type tree struct {
	file  io.ReaderAt
	page  uint64 // bytes of a page
	pages uint64 // the high water mark: pages from it on are not in use
	seen  map[uint64]bool
}

// verify tells whether a bbolt file is sound: both its meta pages, one transaction apart, and every page that the newer one
// leads to. Both must be, since bbolt would go back by a transaction, and forget what was synced, where only the older one is;
// a death while a meta page is written leaves one or the other, for it lies within one sector.
func verify(file io.ReaderAt, size int64) error {
	first, page, err := meta(file, 0)
	if err != nil {
		return err
	}
	second, page2, err := meta(file, int64(page))
	switch {
	case err != nil:
		return err
	case page != page2 || first.txid+1 != second.txid && second.txid+1 != first.txid:
		return fmt.Errorf("%w: its two beginnings are not of one file", ErrCorrupt)
	}
	if first.txid > second.txid {
		second = first
	}
	t := &tree{file: file, page: page, pages: second.pages, seen: map[uint64]bool{}}
	if second.pages < 4 || second.pages > uint64(size)/page {
		return fmt.Errorf("%w: %d pages do not fit in %d bytes", ErrCorrupt, second.pages, size)
	}
	if err := t.walk(second.root, nil, nil, 0); err != nil {
		return err
	}
	if second.free == noFreelist {
		return nil
	}
	return t.freelist(second.free)
}

// beginning is what is used of a meta page.
type beginning struct{ root, free, pages, txid uint64 }

func meta(file io.ReaderAt, at int64) (m beginning, page uint64, err error) {
	b := make([]byte, pageHeader+metaSize)
	if _, err := file.ReadAt(b, at); err != nil {
		return m, 0, fmt.Errorf("%w: it is cut: %w", ErrCorrupt, err)
	}
	flags := binary.LittleEndian.Uint16(b[8:])
	b = b[pageHeader:]
	sum := fnv.New64a()
	sum.Write(b[:metaSize-8])
	page = uint64(binary.LittleEndian.Uint32(b[8:]))
	switch {
	case flags != flagMeta || binary.LittleEndian.Uint32(b) != boltMagic || binary.LittleEndian.Uint32(b[4:]) != boltVersion:
		return m, 0, fmt.Errorf("%w: it is no database", ErrCorrupt)
	case sum.Sum64() != binary.LittleEndian.Uint64(b[metaSize-8:]) || page < leastPage || page > mostPage:
		return m, 0, fmt.Errorf("%w: the checksum of a beginning is off", ErrCorrupt)
	}
	n := func(at int) uint64 { return binary.LittleEndian.Uint64(b[at:]) }
	return beginning{root: n(16), free: n(32), pages: n(40), txid: n(48)}, page, nil
}

// read returns a page with those that it goes on in, and marks them as used; a page that is used twice is an error.
func (t *tree) read(id uint64) ([]byte, error) {
	bad := func(why string) error { return fmt.Errorf("%w: page %d %s", ErrCorrupt, id, why) }
	if id < 2 || id >= t.pages {
		return nil, bad("is not in it")
	}
	head := make([]byte, pageHeader)
	if _, err := t.file.ReadAt(head, int64(id*t.page)); err != nil {
		return nil, bad(err.Error())
	}
	more := uint64(binary.LittleEndian.Uint32(head[12:]))
	if binary.LittleEndian.Uint64(head) != id || id+more >= t.pages {
		return nil, bad("has a wrong header")
	}
	for i := id; i <= id+more; i++ {
		if t.seen[i] {
			return nil, bad("is used twice")
		}
		t.seen[i] = true
	}
	b := make([]byte, (more+1)*t.page)
	if _, err := t.file.ReadAt(b, int64(id*t.page)); err != nil {
		return nil, bad(err.Error())
	}
	return b, nil
}

// walk follows a page whose keys must lie from least up to, and without, below (either may be nil).
func (t *tree) walk(id uint64, least, below []byte, depth int) error {
	if depth > mostDepth {
		return fmt.Errorf("%w: it is too deep", ErrCorrupt)
	}
	b, err := t.read(id)
	if err != nil {
		return err
	}
	return t.elements(b, least, below, depth, fmt.Sprint("page ", id))
}

// elements follows what stands in a page, or in one that lies within a value.
func (t *tree) elements(b, least, below []byte, depth int, where string) error {
	bad := func(why string) error { return fmt.Errorf("%w: %s %s", ErrCorrupt, where, why) }
	if len(b) < pageHeader {
		return bad("is cut")
	}
	flags, count := binary.LittleEndian.Uint16(b[8:]), int(binary.LittleEndian.Uint16(b[10:]))
	if flags != flagBranch && flags != flagLeaf || flags == flagBranch && count == 0 || pageHeader+count*element > len(b) {
		return bad("has a wrong header")
	}
	type entry struct {
		key, value []byte
		child      uint64
		bucket     bool
	}
	entries := make([]entry, count)
	for i := range entries {
		at := pageHeader + i*element
		e, n := b[at:], func(at int) int { return int(binary.LittleEndian.Uint32(b[at:])) }
		pos, key, value := n(at), n(at+4), 0
		if flags == flagLeaf {
			pos, key, value = n(at+4), n(at+8), n(at+12)
			kind := n(at)
			if entries[i].bucket = kind == isBucket; kind != 0 && kind != isBucket {
				return bad("has an entry of no kind")
			}
		} else {
			entries[i].child = binary.LittleEndian.Uint64(e[8:])
		}
		if pos < element*(count-i) || pos+key+value > len(e) {
			return bad("has an entry outside of it")
		}
		entries[i].key, entries[i].value = e[pos:pos+key], e[pos+key:pos+key+value]
		switch k := entries[i].key; {
		case i > 0 && bytes.Compare(entries[i-1].key, k) >= 0, least != nil && bytes.Compare(k, least) < 0, below != nil && bytes.Compare(k, below) >= 0:
			return bad("is out of order")
		}
	}
	for i, e := range entries {
		var err error
		switch {
		case flags == flagBranch:
			end := below
			if i+1 < count {
				end = entries[i+1].key
			}
			err = t.walk(e.child, e.key, end, depth+1)
		case !e.bucket:
		case len(e.value) < 16:
			err = bad("has a bucket that is cut")
		default:
			if root := binary.LittleEndian.Uint64(e.value); root != 0 {
				err = t.walk(root, nil, nil, depth+1)
			} else {
				err = t.elements(e.value[16:], nil, nil, depth+1, where)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// freelist checks that the pages that are said to be free are in the file, once each, and not in use.
func (t *tree) freelist(id uint64) error {
	b, err := t.read(id)
	if err != nil {
		return err
	}
	bad := func(why string) error { return fmt.Errorf("%w: the list of free pages %s", ErrCorrupt, why) }
	count, ids := uint64(binary.LittleEndian.Uint16(b[10:])), b[pageHeader:]
	if binary.LittleEndian.Uint16(b[8:]) != flagFree {
		return bad("is none")
	}
	if count == 0xFFFF {
		count, ids = binary.LittleEndian.Uint64(ids), ids[8:]
	}
	if count > uint64(len(ids)/8) {
		return bad("is cut")
	}
	for i := range count {
		free := binary.LittleEndian.Uint64(ids[i*8:])
		if free < 2 || free >= t.pages || t.seen[free] {
			return bad("names a page in use")
		}
		t.seen[free] = true
	}
	return nil
}
