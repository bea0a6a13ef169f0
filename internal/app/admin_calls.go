package app

import (
	"encoding/json"

	"rampspread/internal/admin"
	"rampspread/internal/fleet/idempotencyquorum"
)

// adminCalls are the operators' calls of a running process. Their names and answers are read by operators and scripts
// (docs/ONCALL.md). Handlers run concurrently and must not block.
type adminCalls struct {
	listeners   *listeners
	drain       operatorDrain
	fleet       *fleetRuntime
	idempotency *idempotencyquorum.Coordinator // nil without one
}

// handlers returns the calls by name.
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

// check tells whether this process takes clients.
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

func (c adminCalls) drainOn() admin.Answer {
	if !c.drain.begin() {
		return admin.OK("draining already")
	}
	return admin.OK("draining")
}

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

// members shows who is in the fleet.
func (c adminCalls) members() admin.Answer {
	node := c.fleet.node.Load()
	if node == nil {
		return admin.Fail(noFleetText)
	}
	return jsonAnswer(node.Status())
}

// tasks shows who holds the leases of the fleet's tasks.
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

// quota shows this member's share of the fleet's budgets.
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

// subset shows the replicas that this member routes to.
func (c adminCalls) subset() admin.Answer {
	if c.fleet.subset == nil {
		return admin.Fail("no subset: the fleet's file has no subset_readers")
	}
	return jsonAnswer(c.fleet.subset.Status())
}

// idempotencyStatus shows the quorum's records of idempotency keys.
func (c adminCalls) idempotencyStatus() admin.Answer {
	if c.idempotency == nil {
		return admin.Fail("no ledger: the fleet's file has no filings, and the program was started without -state")
	}
	return jsonAnswer(c.idempotency.Status())
}

// endpointFilter shows what the newer endpoint lists of other members suppress here.
func (c adminCalls) endpointFilter() admin.Answer {
	if c.fleet.filter == nil {
		return admin.Fail("its own list is all: the fleet's file has no ends")
	}
	return jsonAnswer(c.fleet.filter.Status())
}

// versionSkew shows which versions of endpoint list, settings and program the members act on.
func (c adminCalls) versionSkew() admin.Answer {
	node := c.fleet.node.Load()
	if node == nil {
		return admin.Fail(noFleetText)
	}
	return jsonAnswer(node.VersionSkewStatus())
}

// overrideVersionSkew returns a call by which an operator sets this member's state of version skew by hand.
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

// jsonAnswer answers with one line of JSON.
func jsonAnswer(status any) admin.Answer {
	encoded, err := json.Marshal(status)
	if err != nil {
		return admin.Fail(err.Error())
	}
	return admin.OK(string(encoded))
}
