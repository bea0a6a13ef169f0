package app

import (
	"encoding/json"

	"rampspread/internal/admin"
	"rampspread/internal/fleet/idempotencyquorum"
)

// adminCalls implements the operators' calls of a running process. Operators and scripts depend on their names and
// answers (docs/ONCALL.md). Handlers run concurrently and must not block.
type adminCalls struct {
	listeners   *listeners
	drain       operatorDrain
	fleet       *fleetRuntime
	idempotency *idempotencyquorum.Coordinator // nil if the process does not use one
}

// handlers returns the handler of each call by the name of the call.
func (c adminCalls) handlers() map[string]admin.Handler {
	return map[string]admin.Handler{
		"check":     c.check,
		"drain-on":  c.drainOn,
		"drain-off": c.drainOff,
		"members":   c.members,
		"duties":    c.tasks,
		"shares":    c.quota,
		"subset":    c.subset,
		"filings":   c.idempotencyStatus,
		"lists":     c.endpointFilter,
		"versions":  c.versionSkew,
		"shut-out":  c.overrideVersionSkew("shut-out"),
		"let-in":    c.overrideVersionSkew("let-in"),
		"judge":     c.overrideVersionSkew("judge"),
		"freeze":    c.overrideVersionSkew("freeze"),
	}
}

// check reports whether this process accepts clients.
func (c adminCalls) check() admin.Answer {
	switch {
	case c.listeners.lifecycle.Stopping.Load():
		return admin.Fail("stopping")
	case !c.listeners.ready.Load():
		return admin.Fail("starting")
	case c.drain.active():
		return admin.OK("serving, drained")
	}
	return admin.OK("serving")
}

// drainOn starts an operator's drain.
func (c adminCalls) drainOn() admin.Answer {
	if !c.drain.begin() {
		return admin.OK("draining already")
	}
	return admin.OK("draining")
}

// drainOff ends an operator's drain.
func (c adminCalls) drainOff() admin.Answer {
	ended, err := c.drain.end()
	switch {
	case err != nil:
		return admin.Fail(err.Error())
	case !ended:
		return admin.OK("serving already")
	}
	return admin.OK("serving")
}

const noFleetText = "no fleet: the program was started without -fleet"

// members returns the members of the fleet.
func (c adminCalls) members() admin.Answer {
	node := c.fleet.node.Load()
	if node == nil {
		return admin.Fail(noFleetText)
	}
	return jsonAnswer(node.Status())
}

// tasks returns the tasks of the fleet and the holders of their leases.
func (c adminCalls) tasks() admin.Answer {
	node := c.fleet.node.Load()
	if node == nil {
		return admin.Fail(noFleetText)
	}
	status, ok := node.TasksStatus()
	if !ok {
		return admin.Fail("nothing is done in turn: the fleet's file names no voters")
	}
	return jsonAnswer(status)
}

// quota returns this member's share of the fleet's budgets.
func (c adminCalls) quota() admin.Answer {
	node := c.fleet.node.Load()
	if node == nil {
		return admin.Fail(noFleetText)
	}
	status, ok := node.QuotaStatus()
	if !ok {
		return admin.Fail("nothing is shared: the fleet's file has no budgets")
	}
	return jsonAnswer(status)
}

// subset returns the replicas that this member routes to.
func (c adminCalls) subset() admin.Answer {
	if c.fleet.subset == nil {
		return admin.Fail("no subset: the fleet's file has no subset_readers")
	}
	return jsonAnswer(c.fleet.subset.Status())
}

// idempotencyStatus returns the status of the quorum's idempotency records at this member.
func (c adminCalls) idempotencyStatus() admin.Answer {
	if c.idempotency == nil {
		return admin.Fail("no ledger: the fleet's file has no filings, and the program was started without -state")
	}
	return jsonAnswer(c.idempotency.Status())
}

// endpointFilter returns how much the newer endpoint lists of other members suppress here.
func (c adminCalls) endpointFilter() admin.Answer {
	if c.fleet.filter == nil {
		return admin.Fail("its own list is all: the fleet's file has no ends")
	}
	return jsonAnswer(c.fleet.filter.Status())
}

// versionSkew returns the versions of the endpoint list, the settings and the program that the members use.
func (c adminCalls) versionSkew() admin.Answer {
	node := c.fleet.node.Load()
	if node == nil {
		return admin.Fail(noFleetText)
	}
	return jsonAnswer(node.VersionSkewStatus())
}

// overrideVersionSkew returns the handler of a call by which an operator overrides this member's version skew state.
func (c adminCalls) overrideVersionSkew(call string) admin.Handler {
	return func() admin.Answer {
		node := c.fleet.node.Load()
		if node == nil {
			return admin.Fail(noFleetText)
		}
		if err := node.OverrideVersionSkew(call); err != nil {
			return admin.Fail(err.Error())
		}
		return admin.OK(call)
	}
}

// jsonAnswer returns an answer with the status as one line of JSON.
func jsonAnswer(status any) admin.Answer {
	encoded, err := json.Marshal(status)
	if err != nil {
		return admin.Fail(err.Error())
	}
	return admin.OK(string(encoded))
}
