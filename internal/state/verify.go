package state

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
)

// Layout of a bbolt file, version 2, as documented in go.etcd.io/bbolt. Numbers are in the byte order of the machine;
// the program runs on little-endian machines only.
const (
	boltMagic   = 0xED0CDAED
	boltVersion = 2

	// A page begins with id 8, flags 2, count 2, overflow 4 bytes.
	pageHeaderSize = 16
	offsetFlags    = 8
	offsetCount    = 10
	offsetOverflow = 12

	// A meta page's header is followed by magic 4, version 4, page size 4, flags 4, root bucket 16, freelist 8, high
	// water mark 8, transaction 8, checksum 8 bytes. The offsets are counted from the end of the header.
	metaSize            = 64
	offsetVersion       = 4
	offsetPageSize      = 8
	offsetRoot          = 16
	offsetFreelist      = 32
	offsetHighWaterMark = 40
	offsetTransaction   = 48
	offsetChecksum      = 56

	// A branch or leaf page's header is followed by its elements. They hold the positions of keys and values, relative
	// to the start of the element.
	elementSize = 16
	// bucketHeaderSize is the size of the header before a nested bucket's inline page: root page 8, sequence 8 bytes.
	bucketHeaderSize = 16

	flagBranch   = 0x01
	flagLeaf     = 0x02
	flagMeta     = 0x04
	flagFreelist = 0x10

	flagBucketElement = 0x01 // marks a leaf element whose value is a nested bucket

	noFreelist           = ^uint64(0) // value of the freelist field if the file stores no list of free pages
	freelistCountInBody  = 0xFFFF     // the 16-bit count is too small; the list's first number is the count
	freePageIDSize       = 8
	metaPages            = 2             // pages 0 and 1
	minPages             = metaPages + 2 // meta pages, a root and a list of free pages
	minPageSize          = 1 << 10
	maxPageSize          = 1 << 16
	maxDepth             = 32 // levels of the B+ tree, including nested buckets
	freelistErrorSubject = "the list of free pages"
)

// fileVerifier walks the B+ tree of a bbolt file and checks that all of its pages lie within the file.
type fileVerifier struct {
	file      io.ReaderAt
	pageSize  uint64          // bytes
	pageCount uint64          // high water mark: pages with this number or a greater one are not in use
	visited   map[uint64]bool // pages found so far, in use or free
}

// metaPage holds the fields of a meta page that the verification uses.
type metaPage struct{ pageSize, root, freelist, pageCount, transaction uint64 }

// keyRange is the range of keys that a page may have, from first up to but excluding end. A nil bound is no bound.
type keyRange struct{ first, end []byte }

// pageElement is one element of a branch or leaf page.
type pageElement struct {
	key, value []byte
	child      uint64 // branch page: number of the page that holds the keys from key on
	isBucket   bool   // leaf page: value is a nested bucket
}

// verifyFile checks that a bbolt file is intact: both meta pages, which must be one transaction apart, and every page
// that the newer meta page refers to. Both meta pages must be valid: if only the older one is, bbolt would revert to it
// and lose the last synced transaction. A crash while a meta page is written does not make it invalid: it lies within
// one sector, so it has either its old or its new content.
func verifyFile(file io.ReaderAt, size int64) error {
	first, err := readMetaPage(file, 0)
	if err != nil {
		return err
	}
	second, err := readMetaPage(file, int64(first.pageSize))
	if err != nil {
		return err
	}
	consecutive := first.transaction+1 == second.transaction || second.transaction+1 == first.transaction
	if first.pageSize != second.pageSize || !consecutive {
		return fmt.Errorf("%w: its two beginnings are not of one file", ErrCorrupt)
	}
	newest := second
	if first.transaction > second.transaction {
		newest = first
	}
	if newest.pageCount < minPages || newest.pageCount > uint64(size)/newest.pageSize {
		return fmt.Errorf("%w: %d pages do not fit in %d bytes", ErrCorrupt, newest.pageCount, size)
	}
	v := &fileVerifier{file: file, pageSize: newest.pageSize, pageCount: newest.pageCount, visited: map[uint64]bool{}}
	if err := v.verifyPage(newest.root, keyRange{}, 0); err != nil {
		return err
	}
	if newest.freelist == noFreelist {
		return nil
	}
	return v.verifyFreelist(newest.freelist)
}

// readMetaPage reads the meta page at an offset in bytes, and checks its header, checksum and page size.
func readMetaPage(file io.ReaderAt, offset int64) (metaPage, error) {
	page := make([]byte, pageHeaderSize+metaSize)
	if _, err := file.ReadAt(page, offset); err != nil {
		return metaPage{}, fmt.Errorf("%w: it is cut: %w", ErrCorrupt, err)
	}
	flags := binary.LittleEndian.Uint16(page[offsetFlags:])
	body := page[pageHeaderSize:]
	magic, version := binary.LittleEndian.Uint32(body), binary.LittleEndian.Uint32(body[offsetVersion:])
	checksum := fnv.New64a()
	checksum.Write(body[:offsetChecksum])
	pageSize := uint64(binary.LittleEndian.Uint32(body[offsetPageSize:]))
	switch {
	case flags != flagMeta || magic != boltMagic || version != boltVersion:
		return metaPage{}, fmt.Errorf("%w: it is no database", ErrCorrupt)
	case checksum.Sum64() != binary.LittleEndian.Uint64(body[offsetChecksum:]),
		pageSize < minPageSize, pageSize > maxPageSize:
		return metaPage{}, fmt.Errorf("%w: the checksum of a beginning is off", ErrCorrupt)
	}
	return metaPage{
		pageSize:    pageSize,
		root:        binary.LittleEndian.Uint64(body[offsetRoot:]),
		freelist:    binary.LittleEndian.Uint64(body[offsetFreelist:]),
		pageCount:   binary.LittleEndian.Uint64(body[offsetHighWaterMark:]),
		transaction: binary.LittleEndian.Uint64(body[offsetTransaction:]),
	}, nil
}

// corruptAt returns ErrCorrupt wrapped with the part of the file that is corrupt and the problem with it.
func corruptAt(part, problem string) error { return fmt.Errorf("%w: %s %s", ErrCorrupt, part, problem) }

func pageName(id uint64) string { return fmt.Sprint("page ", id) }

// readPage returns a page with its overflow pages, and marks them as visited. It returns an error if a page was visited
// before.
func (v *fileVerifier) readPage(id uint64) ([]byte, error) {
	if id < metaPages || id >= v.pageCount {
		return nil, corruptAt(pageName(id), "is not in it")
	}
	offset := int64(id * v.pageSize)
	header := make([]byte, pageHeaderSize)
	if _, err := v.file.ReadAt(header, offset); err != nil {
		return nil, corruptAt(pageName(id), err.Error())
	}
	overflow := uint64(binary.LittleEndian.Uint32(header[offsetOverflow:]))
	if binary.LittleEndian.Uint64(header) != id || id+overflow >= v.pageCount {
		return nil, corruptAt(pageName(id), "has a wrong header")
	}
	for i := id; i <= id+overflow; i++ {
		if v.visited[i] {
			return nil, corruptAt(pageName(id), "is used twice")
		}
		v.visited[i] = true
	}
	page := make([]byte, (overflow+1)*v.pageSize)
	if _, err := v.file.ReadAt(page, offset); err != nil {
		return nil, corruptAt(pageName(id), err.Error())
	}
	return page, nil
}

// verifyPage verifies a page, whose keys must lie within a range, and all pages that it refers to.
func (v *fileVerifier) verifyPage(id uint64, keys keyRange, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("%w: it is too deep", ErrCorrupt)
	}
	page, err := v.readPage(id)
	if err != nil {
		return err
	}
	return v.verifyElements(page, keys, depth, pageName(id))
}

// verifyElements verifies the elements of a page or of an inline page within a value, and all pages that they refer to.
func (v *fileVerifier) verifyElements(page []byte, keys keyRange, depth int, name string) error {
	elements, err := parsePage(page, keys, name)
	if err != nil {
		return err
	}
	isBranch := binary.LittleEndian.Uint16(page[offsetFlags:]) == flagBranch
	for i, e := range elements {
		switch {
		case isBranch:
			childKeys := keyRange{first: e.key, end: keys.end}
			if i+1 < len(elements) {
				childKeys.end = elements[i+1].key
			}
			err = v.verifyPage(e.child, childKeys, depth+1)
		case e.isBucket:
			err = v.verifyBucket(e.value, depth+1, name)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// verifyBucket verifies a nested bucket, which has a root page of its own or, if it is small, an inline page in its
// value. name is the name of the page that holds the value.
func (v *fileVerifier) verifyBucket(value []byte, depth int, name string) error {
	if len(value) < bucketHeaderSize {
		return corruptAt(name, "has a bucket that is cut")
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return v.verifyPage(root, keyRange{}, depth)
	}
	return v.verifyElements(value[bucketHeaderSize:], keyRange{}, depth, name)
}

// parsePage parses the elements of a branch or leaf page, and checks that they lie inside the page and that their keys
// are in order and within a range.
func parsePage(page []byte, keys keyRange, name string) ([]pageElement, error) {
	if len(page) < pageHeaderSize {
		return nil, corruptAt(name, "is cut")
	}
	flags := binary.LittleEndian.Uint16(page[offsetFlags:])
	count := int(binary.LittleEndian.Uint16(page[offsetCount:]))
	isBranch, isLeaf := flags == flagBranch, flags == flagLeaf
	if !isBranch && !isLeaf || isBranch && count == 0 || pageHeaderSize+count*elementSize > len(page) {
		return nil, corruptAt(name, "has a wrong header")
	}
	parse := parseLeafElement
	if isBranch {
		parse = parseBranchElement
	}
	elements := make([]pageElement, count)
	for i := range elements {
		// Keys are stored after the last element.
		element, problem := parse(page[pageHeaderSize+i*elementSize:], elementSize*(count-i))
		if problem != "" {
			return nil, corruptAt(name, problem)
		}
		if i > 0 && bytes.Compare(elements[i-1].key, element.key) >= 0 || !keys.contains(element.key) {
			return nil, corruptAt(name, "is out of order")
		}
		elements[i] = element
	}
	return elements, nil
}

// parseBranchElement parses an element of a branch page: position 4, key size 4, child page 8 bytes. b holds the page
// from the element to the end, and the key must not begin before minPosition in b. The problem is empty if the element
// is valid.
func parseBranchElement(b []byte, minPosition int) (e pageElement, problem string) {
	position, keySize := elementNumber(b, 0), elementNumber(b, 1)
	e.child = binary.LittleEndian.Uint64(b[8:])
	if position < minPosition || position+keySize > len(b) {
		return e, "has an entry outside of it"
	}
	e.key = b[position : position+keySize]
	return e, ""
}

// parseLeafElement parses an element of a leaf page: flags 4, position 4, key size 4, value size 4 bytes. See
// parseBranchElement for b, minPosition and problem.
func parseLeafElement(b []byte, minPosition int) (e pageElement, problem string) {
	flags, position, keySize, valueSize := elementNumber(b, 0), elementNumber(b, 1), elementNumber(b, 2), elementNumber(b, 3)
	if flags != 0 && flags != flagBucketElement {
		return e, "has an entry of no kind"
	}
	if position < minPosition || position+keySize+valueSize > len(b) {
		return e, "has an entry outside of it"
	}
	e.isBucket = flags == flagBucketElement
	e.key, e.value = b[position:position+keySize], b[position+keySize:position+keySize+valueSize]
	return e, ""
}

// elementNumber returns the i-th 32-bit number of an element.
func elementNumber(b []byte, i int) int { return int(binary.LittleEndian.Uint32(b[4*i:])) }

func (r keyRange) contains(key []byte) bool {
	if r.first != nil && bytes.Compare(key, r.first) < 0 {
		return false
	}
	return r.end == nil || bytes.Compare(key, r.end) < 0
}

// verifyFreelist checks that each page in the list of free pages lies in the file, is listed once and is not in use.
func (v *fileVerifier) verifyFreelist(id uint64) error {
	page, err := v.readPage(id)
	if err != nil {
		return err
	}
	if binary.LittleEndian.Uint16(page[offsetFlags:]) != flagFreelist {
		return corruptAt(freelistErrorSubject, "is none")
	}
	count, ids := uint64(binary.LittleEndian.Uint16(page[offsetCount:])), page[pageHeaderSize:]
	if count == freelistCountInBody {
		count, ids = binary.LittleEndian.Uint64(ids), ids[freePageIDSize:]
	}
	if count > uint64(len(ids)/freePageIDSize) {
		return corruptAt(freelistErrorSubject, "is cut")
	}
	for i := range count {
		free := binary.LittleEndian.Uint64(ids[i*freePageIDSize:])
		if free < metaPages || free >= v.pageCount || v.visited[free] {
			return corruptAt(freelistErrorSubject, "names a page in use")
		}
		v.visited[free] = true
	}
	return nil
}
