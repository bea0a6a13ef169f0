package network

import (
	"io"
	"log"
)

// DiscardLog discards what net/http logs about connections that an injected fault breaks.
var DiscardLog = log.New(io.Discard, "", 0)
