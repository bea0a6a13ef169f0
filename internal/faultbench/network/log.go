package network

import (
	"io"
	"log"
)

// DiscardLog drops what net/http logs of connections that a fault breaks.
var DiscardLog = log.New(io.Discard, "", 0)
