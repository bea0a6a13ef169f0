package dispatch

import (
	"hash/fnv"
	"io"
	"time"

	"rampspread/routing"
)

// endpointRecord is the dispatcher's state of one listed endpoint.
type endpointRecord struct {
	EndpointAddress
	state        routing.EndpointState
	zone, cell   int
	prefillOnly  bool          // whether attempts at this endpoint only prefill and do not execute the request
	lastResponse time.Duration // time of the last response to an attempt, on the Router's clock
	started      startTime
}

// endpointUpdate holds the arguments of UpdateEndpoints for the owner.
type endpointUpdate struct {
	isFullList bool // whether entries is the full list and not only changes to it
	entries    []Endpoint
}

// UpdateEndpoints replaces the endpoint list if full is true, and otherwise applies entries as changes to the list.
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
	// This comes before the Router handles the update: attempts that the Router sends afterwards follow the new list.
	d.withdrawFromLeavingEndpoints()
	d.handleEvent(event)
	d.pruneGoneEndpoints()
}

// withdrawFromLeavingEndpoints withdraws the attempts that are still waiting for a connection to an endpoint that is
// draining or gone. A request counts as sent when its first byte is written, which may be long after the routing
// decision.
func (d *Dispatcher) withdrawFromLeavingEndpoints() {
	for _, req := range d.requests {
		for _, a := range req.attempts {
			if a.beforeFirstToken() && a.endpoint.state != routing.Ready {
				a.upstreamAttempt.Withdraw()
			}
		}
	}
}

// findOrAddEndpoint returns the record of the endpoint with the given name, and adds it if there is none. The ID is a
// hash of the name, so that all dispatchers use the same ID: the Router's random draws depend on it. If the ID is
// taken, the endpoint gets the next free one.
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

// pruneGoneEndpoints removes the records of endpoints that are gone. Each replacement endpoint has a new name, so the
// list would otherwise grow for as long as the process runs. Attempts in flight keep a pointer to their record.
func (d *Dispatcher) pruneGoneEndpoints() {
	for id, record := range d.endpoints {
		if record.state == routing.Gone {
			delete(d.endpoints, id)
			delete(d.endpointsByName, record.Name)
		}
	}
}

// isPrefillKind reports whether endpoints of a kind only prefill prompts. It returns false for an unknown kind.
func (d *Dispatcher) isPrefillKind(kind int) bool {
	return kind >= 0 && kind < len(d.config.Kinds) && d.config.Kinds[kind].Role == routing.Prefill
}
