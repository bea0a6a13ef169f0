package main

import (
	"fmt"
	"io"
	"time"

	"rampspread/internal/config"
	"rampspread/internal/simcodec"
	"rampspread/routing"
)

// host holds the instances of one process. They share only the directories.
type host struct {
	instances   map[uint16]*instance
	directories map[uint16][]routing.Endpoint // endpoint lists by directory number (Bank)

	// Buffers that are reused for each batch.
	frame   []byte
	actions []routing.Action
}

// instance is one router together with its settings, which the translation of its events needs.
type instance struct {
	router   *routing.Router
	settings *config.Settings
}

func newHost() *host {
	return &host{instances: map[uint16]*instance{}, directories: map[uint16][]routing.Endpoint{}}
}

// answerNext reads one batch and returns the encoded reply, which is valid until the next call. It returns io.EOF at
// the end of the input.
func (h *host) answerNext(r io.Reader) ([]byte, error) {
	batch, err := simcodec.ReadBatch(r)
	if err != nil {
		return nil, err
	}
	reply := simcodec.Reply{Number: batch.Number}
	now := config.FromMS(batch.Now)
	for i, event := range batch.Events {
		if reply.Actions, err = h.handleEvent(now, event, reply.Actions); err != nil {
			return nil, fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
		}
	}
	h.frame, err = simcodec.AppendReply(h.frame[:0], reply)
	return h.frame, err
}

// handleEvent appends the actions that follow from an event to out. It handles Directory, Init and Detach itself and
// passes any other event to the router of its instance.
func (h *host) handleEvent(now time.Duration, event any, out []any) ([]any, error) {
	switch e := event.(type) {
	case simcodec.Directory:
		h.directories[e.Bank] = translateEntries(e.Records)
		return out, nil
	case simcodec.Init:
		return out, h.startInstance(e)
	case simcodec.Detach:
		if h.instances[e.Router] == nil {
			return nil, neverStartedError(e.Router)
		}
		delete(h.instances, e.Router)
		return out, nil
	}
	id := instanceID(event)
	target := h.instances[id]
	if target == nil {
		return nil, neverStartedError(id)
	}
	routerEvent, err := h.translateEvent(target, event)
	if err != nil || routerEvent == nil {
		return out, err
	}
	h.actions = target.router.Handle(now, routerEvent, h.actions[:0])
	for _, action := range h.actions {
		out = append(out, translateAction(id, action))
	}
	return out, nil
}

func neverStartedError(id uint16) error { return fmt.Errorf("router %d was never started", id) }

// startInstance adds a new instance. It replaces an earlier instance with the same number.
func (h *host) startInstance(e simcodec.Init) error {
	settings, err := config.ParseSettings(e.Conf)
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	if err := settings.RequireKeys(e.Conf); err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	cfg, err := settings.Router()
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	router, err := routing.New(cfg, e.Seed)
	if err != nil {
		return fmt.Errorf("router %d: %w", e.Router, err)
	}
	h.instances[e.Router] = &instance{router: router, settings: settings}
	return nil
}

// instanceID returns the number of the instance that an event belongs to.
func instanceID(event any) uint16 {
	switch e := event.(type) {
	case simcodec.Fleet:
		return e.Router
	case simcodec.Order:
		return e.Router
	case simcodec.ClientGone:
		return e.Router
	case simcodec.Accepted:
		return e.Router
	case simcodec.Response:
		return e.Router
	case simcodec.Pong:
		return e.Router
	case simcodec.Reminder:
		return e.Router
	case simcodec.NeighbourSays:
		return e.Router
	case simcodec.SeatNews:
		return e.Router
	}
	return 0
}
