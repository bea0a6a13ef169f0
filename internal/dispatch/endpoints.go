package dispatch

import (
	"hash/fnv"
	"io"
	"time"

	"rampspread/routing"
)

// endpointRecord is what the dispatcher knows of one listed endpoint.
type endpointRecord struct {
	EndpointAddress
	state        routing.EndpointState
	zone, cell   int
	prefillOnly  bool          // an attempt here does not execute the request
	lastResponse time.Duration // when an attempt here last got an answer, by the Router's clock
	started      startTime
}

// endpointUpdate is a message to the owner.
type endpointUpdate struct {
	isFullList bool // entries are the whole list; otherwise they are changes to it
	entries    []Endpoint
}

// UpdateEndpoints applies a new endpoint list (full), or changes to the current one.
func (d *Dispatcher) UpdateEndpoints(full bool, entries []Endpoint) {
	d.post(func() { d.applyEndpointUpdate(endpointUpdate{isFullList: full, entries: entries}) })
}

func (d *Dispatcher) applyEndpointUpdate(update endpointUpdate) {
	if update.isFullList {
		for _, record := range d.endpoints {
			record.state = routing.Gone
		}
	}
	event := routing.EndpointUpdate{Full: update.isFullList}
	for _, e := range update.entries {
		record := d.findOrAddEndpoint(e.Name)
		record.Addr, record.state = e.Addr, e.State
		record.zone, record.cell, record.prefillOnly = e.Zone, e.Cell, d.isPrefillKind(e.Kind)
		entry := routing.Endpoint{ID: record.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: e.State, Weight: e.Weight}
		entry.Started = d.startTime(record, e.Started)
		event.Endpoints = append(event.Endpoints, entry)
	}
	d.withdrawFromLeavingEndpoints() // before the Router learns of the list: what it sends from then on goes by the new one
	d.handleEvent(event)
	d.pruneGoneEndpoints()
}

// withdrawFromLeavingEndpoints withdraws attempts that still wait for their connection to an endpoint that is draining
// or gone. A request counts as sent from its first byte, which may be written long after the routing decision.
func (d *Dispatcher) withdrawFromLeavingEndpoints() {
	for _, req := range d.requests {
		for _, a := range req.attempts {
			if a.beforeFirstToken() && a.endpoint.state != routing.Ready {
				a.upstreamAttempt.Withdraw()
			}
		}
	}
}

// findOrAddEndpoint returns the record of a name. The ID is a hash of the name, so that it is the same at every
// dispatcher: the Router's random draws depend on it. A collision takes the next free ID.
func (d *Dispatcher) findOrAddEndpoint(name string) *endpointRecord {
	if record := d.endpointsByName[name]; record != nil {
		return record
	}
	hash := fnv.New32a()
	io.WriteString(hash, name)
	id := routing.EndpointID(hash.Sum32())
	for d.endpoints[id] != nil {
		id++
	}
	record := &endpointRecord{EndpointAddress: EndpointAddress{ID: id, Name: name}}
	d.endpoints[id], d.endpointsByName[name] = record, record
	return record
}

// pruneGoneEndpoints forgets endpoints that are gone. Each replacement has a name of its own, so the list would
// otherwise grow for as long as the process runs. Attempts in flight hold the record that they need.
func (d *Dispatcher) pruneGoneEndpoints() {
	for id, record := range d.endpoints {
		if record.state == routing.Gone {
			delete(d.endpoints, id)
			delete(d.endpointsByName, record.Name)
		}
	}
}

// isPrefillKind reports whether endpoints of a kind only prefill prompts. Unknown kinds do not.
func (d *Dispatcher) isPrefillKind(kind int) bool {
	return kind >= 0 && kind < len(d.config.Kinds) && d.config.Kinds[kind].Role == routing.Prefill
}
