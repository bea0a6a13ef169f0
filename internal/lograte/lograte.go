// Package lograte limits the lines that a process logs. Clients decide how often some events occur, and a line costs
// processor time and, if nobody reads the log, the time of whoever writes it. Each event has a rate of its own; a later
// line of the event says how many were suppressed. Errors are never suppressed.
package lograte

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"rampspread/internal/tokenbucket"
)

const (
	linesPerSecond = 50
	burstLines     = 200
	// maxEvents limits the events that are counted apart. Their names are those of the code, so there are fewer.
	maxEvents = 500
	// suppressedKey is the attribute for the number of lines that were suppressed since the event's last line.
	suppressedKey = "suppressed"
)

// Handler passes the records of a slog.Logger to another handler, at a limited rate for each message.
type Handler struct {
	next   slog.Handler
	limits *limits
}

// limits are the rates of all messages. They are shared by the handlers that WithAttrs and WithGroup derive.
type limits struct {
	begun  time.Time
	mu     sync.Mutex
	events map[string]*event
}

type event struct {
	bucket     tokenbucket.Bucket
	suppressed int
}

// NewHandler returns a Handler before next.
func NewHandler(next slog.Handler) *Handler {
	return &Handler{next: next, limits: &limits{begun: time.Now(), events: map[string]*event{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level < slog.LevelError {
		allowed, suppressed := h.limits.take(record.Message, time.Now())
		if !allowed {
			return nil
		}
		if suppressed > 0 {
			record = record.Clone()
			record.AddAttrs(slog.Int(suppressedKey, suppressed))
		}
	}
	return h.next.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{next: h.next.WithAttrs(attrs), limits: h.limits}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{next: h.next.WithGroup(name), limits: h.limits}
}

// take reports whether a message may be logged now, and how many were suppressed before it.
func (l *limits) take(message string, now time.Time) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.events[message]
	if e == nil {
		if len(l.events) >= maxEvents {
			return true, 0
		}
		e = &event{}
		l.events[message] = e
	}
	if e.bucket.Fill(now.Sub(l.begun), linesPerSecond, burstLines) < 1 {
		e.suppressed++
		return false, 0
	}
	e.bucket.Spend()
	suppressed, e.suppressed = e.suppressed, 0
	return true, suppressed
}
