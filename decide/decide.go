package decide

// The ordinary path is predictive TTFT-budget admission control: the best time to first token
// over all readers is estimated before any read; a non-critical request whose best estimate exceeds
// its budget is refused; the others go to the reader with the lowest estimate and then to the
// writer with most room in that reader's cell.
// A router may be one of many and hear little of any one server. Evidence is therefore pooled: a
// server's figure leans on that of all servers of its role as far as its own evidence is thin.

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rampspread/internal/fleet/share"
)

const (
	ms = time.Millisecond

	// From the paper: starting values, refit from what reads report.
	headroom     = 0.5
	criticalRoom = 0.75    // critical's headroom: it passes when others are refused, but not into a jam
	startBeta0   = 6.91042 // ms a read
	startBeta1   = 17.67   // ms for 1,000 tokens not kept
	startStep    = 7.0     // ms for each own unfinished read ahead
	mostBeta0    = 100.0   // ms; beyond it a wait is no cost of the read
	tableFade    = 30 * time.Second
	fitFade      = 10 * time.Second
	priorWeight  = 2.0 // samples that the starting values, or a pool's value, count for

	lagFade       = 3 * time.Second  // of the wait common to all readers,
	lagPrior      = 0.3              // which leans on none by so many samples
	waitFade      = 2 * time.Second  // of a writer's observed wait, so that it is tried again
	shareFade     = 60 * time.Second // of the arrivals that tell how much asked for a text is
	sharePrior    = 10.0             // arrivals that asked for something else
	homePart      = 0.3              // of a reader's even part: the most that one text takes at one home
	nearEqual     = 20.0             // ms between estimates that count as equal,
	nearScatter   = 0.8              // or this part of what estimates are usually off by
	minPull       = 0.7              // least weight of a reader by what its cell's writers bear
	farHandicap   = 60.0             // ms that a reader in another zone must be better by
	coldPart      = 0.45             // of what the rule lets a cold server take, at an even load
	coldAhead     = 4.0              // sends of a new text that all may be ahead of that: chance, at N of 1
	coldPull      = 1.5              // weight of a cold reader for each part of its warmth
	nearFullShare = 0.90             // of reported memory: a writer adds wait past this
	nearFullWait  = 150.0            // ms to the first token: a writer adds wait past this
	fullFor       = 300 * ms         // a writer that turned us away has no room for this long
	quotaSpan     = 5 * time.Second  // of a tenant's even part that may come at once,
	quotaMore     = 3.0              // and so many requests more
	sweepEvery    = 5 * time.Second  // tables are swept this often
	retryPause    = 30 * ms          // between looks for a server while a request is held
	answerBefore  = 15 * ms          // a held request is answered this long before its deadline

	readGrace  = 900 * ms // a read attempt may take this plus patience times its estimate
	patience   = 3.0
	thin       = 1.0      // recent reads seen of each reader, under which a router asks for loads,
	askOf      = 2        // of so many readers
	askWait    = 40 * ms  // for the answers
	loadFresh  = 250 * ms // a report is used for this long
	busySlots  = 4.0      // requests in work that a busy reader's report stands for
	startEach  = 60.0     // ms that a request ahead of one takes, until reads have told
	writeGrace = 800 * ms // the least time-out of a writer attempt that may be repeated

	ejectAt     = 0.45 // failure level past which a server is ejected; half of it allows one attempt
	softWeight  = 0.25 // weight of an error in the failure level
	hardWeight  = 0.5  // weight of a failed connect, reset or time-out
	healWeight  = 0.3  // weight of a success
	aliveWeight = 0.2  // weight of one that breaks at a server that has answered so lately: it stays in
	aliveFor    = 500 * ms
	healthFade  = 10 * time.Second
)

// New returns a Router that knows no servers yet.
func New(cfg Config, seed uint64) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	r := &Router{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID: map[ServerID]*server{}, cells: map[int]*cell{},
		requests: map[RequestID]*request{}, table: map[Key]*text{},
		tenants: make([]share.Bucket, len(cfg.TenantQuotas)),
		lag:     evidence{fade: lagFade}, scatter: evidence{fade: fitFade}, trust: evidence{fade: fitFade},
		arrivals: evidence{fade: shareFade}, each: evidence{fade: fitFade},
	}
	r.fit = fit{
		prior: [3]float64{startBeta0, startBeta1, startStep}, most: [3]float64{mostBeta0, 1000, 1000},
		weight: priorWeight, fade: fitFade,
	}
	r.fit.coef = r.fit.prior
	r.fetch = r.fit
	// Critical is the highest worth; a tie makes each of its classes critical, unless all tie.
	top, low := math.Inf(-1), math.Inf(1)
	r.tightest = math.Inf(1)
	for _, c := range cfg.Classes {
		top, low = math.Max(top, c.Worth), math.Min(low, c.Worth)
		r.tightest = min(r.tightest, toMS(c.Aim)*headroom)
	}
	for _, c := range cfg.Classes {
		r.critical = append(r.critical, c.Worth == top && top > low)
	}
	return r, nil
}

// Handle takes one event and appends the actions that follow from it.
func (r *Router) Handle(now time.Duration, ev Event, actions []Action) []Action {
	r.now, r.out = max(now, r.now), actions
	switch e := ev.(type) {
	case Roster:
		r.roster(e)
	case Arrival:
		r.arrive(e)
	case Started:
		r.started(e)
	case Ended:
		r.ended(e)
	case ClientGone:
		r.clientGone(e.Request)
	case Probed:
		r.probed(e)
	case Heard:
		r.hear(e)
	case Share:
		r.part = Share{e.Part, r.now + e.For}
	case Subset:
		r.keepTo(e)
	case Learnt:
		r.learn(e.Beliefs)
	case Timer:
		if q := r.requests[RequestID(e.ID)]; q != nil && (q.phase == arrived || q.phase == read) {
			if q.unheard > 0 { // what it asked for is missing
				q.unheard, q.lookAt = 0, r.now
			}
			r.advance(q)
		}
	}
	return r.flush()
}

// ---- The roster.

func (r *Router) roster(e Roster) {
	if e.Full {
		for _, s := range r.servers {
			s.State = Gone
		}
	}
	for _, in := range e.Servers {
		r.listServer(in)
	}
	r.servers = slices.DeleteFunc(r.servers, func(s *server) bool {
		if s.State != Gone || len(s.waits) > 0 || s.streams > 0 {
			return false
		}
		delete(r.byID, s.ID)
		return true
	})
	r.refocus()
}

func (r *Router) listServer(in Server) {
	s := r.byID[in.ID]
	if s == nil {
		if in.State == Gone {
			return
		}
		s = &server{Server: in}
		s.forget(r)
		r.byID[in.ID] = s
		at, _ := slices.BinarySearchFunc(r.servers, in.ID, func(s *server, id ServerID) int {
			return cmp.Compare(s.ID, id)
		})
		r.servers = slices.Insert(r.servers, at, s)
	}
	if in.Started != s.Started || in.State == Gone {
		s.forget(r)
	}
	s.Server = in
	s.cell = entry(r.cells, in.Cell)
	if in.Kind >= 0 && in.Kind < len(r.cfg.Kinds) {
		s.role = r.cfg.Kinds[in.Kind].Role
	}
	if !(s.Weight > 0) {
		s.Weight = 1
	}
}

// forget drops what was learnt of a server's last process: what it kept is void, its failures are not
// the new one's.
func (s *server) forget(r *Router) {
	s.voidTill, s.fullTill, s.memory, s.backlog = r.now, 0, -1, -1
	s.excess, s.wait, s.turn = evidence{fade: fitFade}, evidence{fade: waitFade}, r.rng.Float64()
	s.health = slices.Repeat([]level{{fade: healthFade}}, 1+len(r.cfg.Classes))
}

// survey sums up the cells for a decision about a class, in two passes over the servers.
func (r *Router) survey(class int) {
	none := cell{wait: math.Inf(1)}
	for _, s := range r.near {
		*s.cell = none
	}
	r.every = none
	r.fit.solve(r.now)
	r.fetch.solve(r.now)
	for _, s := range r.near {
		weight := r.share(s)
		if s.role == Reader && s.State == Ready {
			s.cell.sends += weight
			r.every.sends += weight
		}
		if !r.usable(s, class) {
			continue
		}
		if s.role == Reader {
			s.cell.readers += weight
			r.every.readers += weight
			continue
		}
		s.cell.writers += weight
		r.every.writers += weight
		w := r.writerWait(s)
		s.cell.wait, r.every.wait = min(s.cell.wait, w), min(r.every.wait, w)
	}
	if r.turns() {
		r.survey(class)
	}
}

// pull weighs a cell's readers by what its writers bear; room is the part of its readers' states that
// its writers can then take if all servers are used evenly. Few of a cell's servers are ever seen busy
// by one router among many, so the list must tell that a cell has too few writers. It could do harm
// where weights in the list mean nothing.
func (r *Router) pull(c *cell) (pull, room float64) {
	bears := math.Inf(1)
	if c.readers > 0 && r.every.writers > 0 {
		bears = c.writers / r.every.writers * r.every.readers / c.readers
	}
	pull = clamp(bears, minPull, 1)
	return pull, bears / pull
}

// warmth is the share of its capacity that a server surely has by now.
func (r *Router) warmth(s *server) float64 {
	age := r.now - s.Started
	if s.Started <= 0 || age >= r.cfg.ColdFor || r.cfg.FallMultiple <= 0 {
		return 1
	}
	from := min(max(r.cfg.ColdFrom, 0.05), 1)
	return from + (1-from)*max(float64(age), 0)/float64(r.cfg.ColdFor)
}

// share is what a server takes of its role's work, against others; the rule leaves a cold reader room for
// more than its warmth.
func (r *Router) share(s *server) float64 {
	if s.role == Reader {
		return s.Weight * min(coldPull*r.warmth(s), 1)
	}
	return s.Weight * r.warmth(s)
}

// coldTurn guards against cold servers being pushed over by all routers together: of the requests that
// come to ask, flow of all, a set part may use the cold one. Each router counts that part from a start drawn
// from the seed, so all together stay at a set part of the server's even share of all sends; ahead is how
// many it may use before their time. It could do harm when few but cold servers are left.
func (r *Router) coldTurn(s *server, q *request, flow, ahead float64) bool {
	if first := q.sends == 0 || q.sends == 1 && q.phase == read; !first || r.now != q.lookAt {
		return false // further attempts and looks ask for no more than the first
	}
	even := coldPart * r.cfg.FallMultiple * r.warmth(s) / float64(max(r.most[s.role], 1))
	s.turn = min(s.turn+even/flow, 2-ahead)
	return s.turn+ahead >= 1
}

// ahead is how many sends this router may make to a cold reader before their time: one for texts that it
// knows, whose ranks bound what all send there at once; of one that is new its part of what chance may add.
func (r *Router) ahead(q *request) float64 {
	if t := r.table[q.Shared]; t == nil || t.asked.count(r.now) > 1.5 {
		return 1
	}
	return min(r.own(coldAhead), 1)
}

// ---- Health.

// usable reports whether a server may be sent this class of work. It guards against servers that die,
// go silent or fail fast, for all classes or for one: a high level ejects, and one safe attempt at a
// time leads back.
func (r *Router) usable(s *server, class int) bool {
	if s.State != Ready {
		return false
	}
	failed := max(s.health[0].now(r.now), s.health[1+class].now(r.now))
	trial := len(s.waits) == 0 && (s.role == Reader || r.cfg.Classes[class].Effect == Safe)
	return failed < ejectAt/2 || failed < ejectAt && trial
}

// failure counts against a server for one class, and unless it has answered since, for all.
func (r *Router) failure(s *server, class int, weight float64, all bool) {
	s.health[1+class].move(r.now, 1, weight)
	if all {
		s.health[0].move(r.now, 1, weight)
	}
}

func (r *Router) success(s *server, class int) {
	s.heard = r.now
	s.health[0].move(r.now, 0, healWeight)
	s.health[1+class].move(r.now, 0, healWeight)
}

// ---- Estimates.

// keptAt is how many of the prompt's tokens are expected to be kept at the reader: by the table, and
// where the reader is a home of the shared beginning, by what other routers will have sent there.
func (r *Router) keptAt(s *server, q *request, home bool) int {
	most := 0.0
	look := func(key Key, limit int) {
		if t := r.table[key]; t != nil && t.reader == s.ID && t.at >= s.voidTill {
			most = max(most, faded(r.now-t.at, tableFade)*float64(min(t.tokens, limit)))
		}
	}
	look(q.Session, q.Prompt) // the table holds no key 0
	look(q.Shared, q.SharedTokens)
	if home {
		most = max(most, float64(min(q.SharedTokens, q.Prompt)))
	}
	return int(most * r.trust.mean(r.now, 1, priorWeight))
}

// homes is how many readers should keep the request's shared beginning, by its part of what arrives,
// in steps that routers with somewhat different counts still agree on.
func (r *Router) homes(q *request) float64 {
	part := 0.0
	if t := r.table[q.Shared]; t != nil {
		part = max(t.asked.count(r.now)-1, 0) / (r.arrivals.count(r.now) + sharePrior)
	}
	return math.Exp2(math.Floor(math.Log2(1 + part*float64(r.most[Reader])/homePart)))
}

const notHome = 1e6 // a rank past those of all homes

// homeRank orders the readers for a request's keys alike at all routers, so that texts are found kept
// without a word between them: among the homes of the shared beginning by the session, then the rest.
// It could do harm where one text asks for more than its homes can read before its part is known.
func (r *Router) homeRank(s *server, q *request, homes float64) float64 {
	pull, _ := r.pull(s.cell)
	weight := r.share(s) * pull
	if q.Shared != 0 {
		if x := draw(q.Shared, s.ID) / weight * float64(r.most[Reader]) / homes; x > 1 {
			return notHome + x
		}
	}
	return draw(q.Session, s.ID) / weight
}

// overdue is how far the oldest attempt out at the server has overstayed, in ms. It guards against
// silent and slowed servers before any time-out fires.
func (r *Router) overdue(s *server) float64 {
	if len(s.waits) == 0 {
		return 0
	}
	return max(toMS(r.now-s.waits[0].due), 0)
}

// readerEstimate is the design's estimate for one reader, in ms. Its queue wait is what own reads or
// reports tell, the wait common to all readers of late, and how far this one's reads lay from that. A
// cold server gets less than its part, so the common wait is not there.
func (r *Router) readerEstimate(s *server, kept int, q *request) (queue, cost float64) {
	missed := float64(max(0, q.Prompt-kept)) / 1000
	queue = r.fit.coef[2] * float64(len(s.waits))
	if s.backlog >= 0 {
		queue = s.backlog * r.fit.coef[1]
	}
	warmth := r.warmth(s)
	common := max(r.fit.coef[0]-startBeta0, 0)
	cost = r.fit.coef[0] + r.fit.coef[1]*missed - common
	if r.cfg.MayProbe && r.now-s.loadAt <= loadFresh {
		return s.load*r.each.mean(r.now, startEach, priorWeight)/warmth + r.overdue(s), cost / warmth
	}
	queue += common + r.lag.mean(r.now, 0, lagPrior)
	queue = max(queue+s.excess.mean(r.now, 0, priorWeight), 0) + r.overdue(s)
	return queue, cost / warmth
}

// writerWait is what a writer adds to the estimate: nothing unless it is near full by its report, by
// having turned us away, or by the first tokens that we wait for there.
func (r *Router) writerWait(s *server) float64 {
	w := s.wait.mean(r.now, 0, priorWeight)
	if len(s.waits) > 0 {
		w = max(w, toMS(r.now-s.waits[0].at), r.fetch.predict([3]float64{1, 0, float64(len(s.waits))}))
	}
	if r.now < s.fullTill || w > nearFullWait || s.memory > nearFullShare && r.told(s) {
		return max(w, toMS(s.fullTill-r.now))
	}
	return 0
}

// cellWait is the least wait among the writers of a reader's cell, else among all.
func (r *Router) cellWait(c *cell) float64 {
	w := min(c.wait, r.every.wait+nearFullWait)
	if math.IsInf(w, 1) {
		return 0
	}
	return w
}

// ---- Arrival, admission and reading.

func (r *Router) arrive(e Arrival) {
	if r.requests[e.Request] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(r.cfg.Classes) {
		r.emit(Fail{e.Request})
		return
	}
	c := r.cfg.Classes[e.Class]
	q := &request{Arrival: e, at: r.now, deadline: r.now + e.TimeLeft, freeAt: r.now, lookAt: r.now}
	q.aim = c.Aim + time.Duration(float64(c.AimPer1K)*float64(e.Prompt)/1000)
	q.overQuota = r.overQuota(e.Tenant)
	r.requests[e.Request] = q
	r.arrivals.add(r.now, 0)
	if q.Shared != 0 {
		t := entry(r.table, q.Shared)
		t.asked.fade = shareFade
		t.asked.add(r.now, 0)
	}
	if r.now-r.swept >= sweepEvery {
		r.swept = r.now
		old := r.now - 2*shareFade
		maps.DeleteFunc(r.table, func(_ Key, t *text) bool { return max(t.at, t.asked.at) < old })
	}
	r.advance(q)
}

// overQuota reports whether what this router passed for a tenant has used up its even part of the
// tenant's share. The part of one router among many is small and its traffic uneven, so some seconds of
// it may come at once. Refused requests spend nothing, or clients' retries would use the share up.
func (r *Router) overQuota(id int) bool {
	if id < 0 || id >= len(r.tenants) || r.cfg.TenantQuotas[id] <= 0 {
		return false
	}
	rate := r.own(r.cfg.TenantQuotas[id])
	return r.tenants[id].Fill(r.now, rate, quotaSpan.Seconds()*rate+quotaMore) < 1
}

// advance moves a request that has no attempt out.
func (r *Router) advance(q *request) {
	if q.sends >= r.attempts(q) || r.now+answerBefore >= q.deadline {
		r.giveUp(q, 0)
		return
	}
	if !r.mayRepeat(q) {
		r.giveUp(q, toMS(r.cfg.MaxRetryAfter))
		return
	}
	if q.phase == read {
		r.toWriter(q)
	} else {
		r.toReader(q)
	}
}

// pause holds a request for a moment, unless what it holds would be pinned or its time ran out.
func (r *Router) pause(q *request, limit time.Duration) {
	if r.now+2*retryPause >= min(limit, q.deadline-answerBefore) {
		r.giveUp(q, 0)
		return
	}
	r.emit(Wake{retryPause, TimerID(q.Request)})
}

// toReader applies the admission test and sends the request to the reader with the lowest estimate.
func (r *Router) toReader(q *request) {
	if q.sends+2 > r.attempts(q) {
		r.giveUp(q, 0)
		return
	}
	if r.asks(q) {
		return
	}
	c, ok := r.bestReader(q)
	if !ok {
		if r.cfg.LocalRead || r.most[Reader] == 0 && r.most[Mixed] > 0 {
			r.toWriter(q)
			return
		}
		r.pause(q, q.at+q.aim)
		return
	}
	if !r.admit(q, c.queue, c.cost) {
		r.giveUp(q, c.queue+c.cost-toMS(q.aim))
		return
	}
	s, est := c.server, fromMS(c.queue+c.cost)
	q.phase, q.reader = reading, s.ID
	q.promised, q.ahead, q.load = r.keptAt(s, q, c.rank < notHome), float64(len(s.waits)), r.loadOf(s)
	r.note(q.Session, s.ID, q.Prompt)
	r.note(q.Shared, s.ID, q.SharedTokens)
	limit := fromMS(patience*(c.queue+c.cost)+r.scatter.mean(r.now, 0, priorWeight)) + readGrace
	left := q.deadline - r.now
	limit = min(limit, max(left/2, readGrace))
	if r.now+limit+est+readGrace > q.deadline || q.sends+3 > r.attempts(q) {
		limit = left // no time or attempt for another reader: wait for this one
	}
	r.send(q, s, limit, r.now+time.Duration(1.5*float64(est))+100*ms)
}

// admit is the design's test, made before every read: critical passes, others when the best estimate is
// within the budget; if the read alone is over it, the queue wait is judged alone. A request that comes
// back from a full or silent reader is judged anew, so that it is not pushed on into a jam, where it
// could only be late; it could do harm if one server's trouble looked like all. The queue is shared, so its
// wait is held to the tightest class's budget, lest a long budget shut the short ones out. Critical
// passes only while most of its own aim is left: a flood of it would make all late. Traffic beyond a
// tenant's share has no free pass and half the budget.
func (r *Router) admit(q *request, queue, cost float64) bool {
	budget, most := toMS(q.aim)*headroom, r.tightest
	if q.overQuota {
		budget, most = budget/2, most/2
	} else if r.critical[q.Class] {
		budget = toMS(q.aim) * criticalRoom
		most = budget
	}
	return queue <= min(budget, most) && (cost > budget || queue+cost <= budget)
}

// asks asks the readers that the keys rank first, or two writers of the reader's cell, for their load and
// reports whether the request waits. Ranks keep it where its text is, at all routers alike; loads tell which
// of these few is jammed.
func (r *Router) asks(q *request) bool {
	if !r.cfg.MayProbe || q.options != nil || r.evidence() >= thin {
		return false
	}
	r.survey(q.Class)
	homes, from := r.homes(q), r.byID[q.reader]
	r.choices = r.choices[:0]
	for _, s := range r.near {
		c, warm := choice{server: s, rank: r.rng.Float64()}, r.warmth(s) == 1
		ok := warm && s.role != Reader && from != nil && s.cell == from.cell
		if q.phase == arrived {
			ok, c.rank = s.role == Reader && (warm || s.turn+r.ahead(q) >= 1), r.homeRank(s, q, homes)
		}
		if ok && r.usable(s, q.Class) {
			r.choices = append(r.choices, c)
		}
	}
	slices.SortFunc(r.choices, func(a, b choice) int { return cmp.Compare(a.rank, b.rank) })
	for _, c := range r.mayAsk(r.choices[:min(askOf, len(r.choices))]) {
		q.options = append(q.options, c.ID)
		if r.now-c.loadAt <= loadFresh {
			continue
		}
		q.unheard++
		if c.askers = append(c.askers, q.Request); len(c.askers) == 1 {
			r.emit(Probe{c.ID})
		}
	}
	if q.unheard > 0 {
		r.emit(Wake{askWait, TimerID(q.Request)})
	}
	return q.unheard > 0
}

// probed takes a server's load, and goes on with the requests that waited for no other.
func (r *Router) probed(e Probed) {
	s := r.byID[e.Server]
	if s == nil {
		return
	}
	if e.Load == nil || e.Load.Queue < 0 {
		s.health[0].move(r.now, 1, hardWeight)
	} else {
		s.heard = r.now
		s.takeLoad(e.Load, r.now)
	}
	askers := s.askers
	s.askers = nil
	for _, id := range askers {
		if q := r.requests[id]; q != nil && q.unheard > 0 {
			if q.unheard--; q.unheard == 0 {
				q.lookAt = r.now
				r.advance(q)
			}
		}
	}
}

// bestReader returns the reader with the lowest estimate; near-equal ones go by rank. Bad health alone
// never leaves a request without a reader.
func (r *Router) bestReader(q *request) (choice, bool) {
	r.survey(q.Class)
	homes := r.homes(q)
	for _, healthy := range []bool{true, false} {
		low := math.Inf(1)
		r.choices = r.choices[:0]
		asked := healthy && q.options != nil && q.sends == 0
		for _, s := range r.near {
			if s.role != Reader || s.State != Ready || healthy && !r.usable(s, q.Class) {
				continue
			}
			if asked && (!slices.Contains(q.options, s.ID) || r.now-s.loadAt > loadFresh) {
				continue
			}
			cold, tried := r.warmth(s) < 1, slices.Contains(q.tried, s.ID)
			if cold && !(healthy && r.coldTurn(s, q, 1, r.ahead(q))) {
				continue
			}
			c := choice{server: s, rank: r.homeRank(s, q, homes)}
			c.queue, c.cost = r.readerEstimate(s, r.keptAt(s, q, c.rank < notHome), q)
			c.queue += r.cellWait(s.cell)
			c.order = c.queue + c.cost
			if s.Zone != r.cfg.Zone {
				c.order += farHandicap
			}
			if !healthy {
				c.order += 1000 * s.health[0].now(r.now)
			}
			if tried {
				c.order += 1000
			}
			low = min(low, c.order)
			r.choices = append(r.choices, c)
		}
		sure := 1 + r.evidence()/priorWeight
		off := nearScatter * r.scatter.mean(r.now, 0, priorWeight) / sure
		if asked {
			off = 0 // what was told is no guess
		}
		near := low + max(nearEqual, off)
		best := choice{rank: math.Inf(1)}
		for _, c := range r.choices {
			if c.order <= near && c.rank < best.rank {
				best = c
			}
		}
		if best.server != nil {
			if r.warmth(best.server) < 1 {
				best.turn--
			}
			return best, true
		}
	}
	return choice{}, false
}

// send makes an attempt; every Send leaves here.
func (r *Router) send(q *request, s *server, limit, due time.Duration) {
	r.count(q)
	q.server, q.sentAt = s.ID, r.now
	q.sends++
	s.waits = append(s.waits, waiting{q.Request, r.now, due})
	r.emit(Send{q.Request, s.ID, limit})
}

// ---- Writing.

// toWriter sends a read request to the writer with most room in its reader's cell.
func (r *Router) toWriter(q *request) {
	if r.asks(q) {
		return
	}
	s := r.bestWriter(q)
	if s == nil {
		r.pause(q, q.freeAt+r.cfg.ReleaseWithin*4/5)
		return
	}
	left := q.deadline - r.now
	limit := left
	// A silent writer is left while there is time for another, where a repeat is allowed.
	if r.cfg.Classes[q.Class].Effect == Safe && left > 2*writeGrace && q.sends+1 < r.attempts(q) {
		limit = max(left/2, writeGrace)
	}
	q.phase, q.ahead = writing, float64(len(s.waits))
	r.send(q, s, limit, r.now+writeGrace)
}

// bestWriter prefers a writer with room in the reader's cell, then one elsewhere, then any. The part of
// the states that a cell's writers cannot bear goes to cells that have writers to spare.
func (r *Router) bestWriter(q *request) *server {
	r.survey(q.Class)
	from := r.byID[q.reader]
	if q.phase != read {
		from = nil
	}
	zone, spill := r.cfg.Zone, false
	if from != nil {
		_, room := r.pull(from.cell)
		zone, spill = from.Zone, r.rng.Float64() > room
	}
	var best *server
	low, ties := [4]float64{math.Inf(1)}, 0
	for _, s := range r.near {
		if s.role == Reader || s.State != Ready || q.ran && !r.repeats(q, s) {
			continue
		}
		if q.phase == arrived && s.role == Writer && !r.cfg.LocalRead {
			continue
		}
		tried, usable := slices.Contains(q.tried, s.ID), r.usable(s, q.Class)
		if tried && r.now < s.fullTill {
			continue
		}
		near := from != nil && s.cell == from.cell
		if r.warmth(s) < 1 {
			flow := 1.0 // the part of all states that the cell's readers send, also if others do not answer
			if s.cell.sends > 0 {
				flow = max(s.cell.sends/r.every.sends, s.cell.readers/max(r.every.readers, 1e-9))
			}
			if s.cell.sends > 0 && (!near || spill) || !r.coldTurn(s, q, flow, 0) {
				continue
			}
			s.turn--
			if usable {
				return s
			}
		}
		tier, wait, spread := 0.0, r.writerWait(s), 0.0
		switch {
		case !usable:
			tier = 8
		case wait > 0:
			tier = 4
		}
		if tried {
			tier += 4
		}
		if spill {
			_, room := r.pull(s.cell)
			spread = r.rng.ExpFloat64() / (s.Weight * max(1-1/room, 1e-9))
			if s.Zone != zone {
				spread *= 3
			}
		} else if s.Zone != zone {
			tier += 2
		} else if !near {
			tier++
		}
		key := [4]float64{tier, wait, spread, r.fill(s)}
		switch d := slices.Compare(key[:], low[:]); {
		case best == nil || d < 0:
			best, low, ties = s, key, 1
		case d == 0:
			if ties++; r.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// fill is how full a writer is: reported memory where there is a report, plus own streams by size.
func (r *Router) fill(s *server) float64 {
	f := float64(s.streams+len(s.waits)+1) / (s.Weight * r.warmth(s))
	if s.memory >= 0 && r.told(s) {
		return s.memory + f/1000
	}
	return f
}

// repeats reports whether a request that may have run may go to the server.
func (r *Router) repeats(q *request, s *server) bool {
	c := r.cfg.Classes[q.Class]
	if c.Effect == Safe {
		return true
	}
	on := r.byID[q.ranOn]
	if c.Effect == Unsafe || on == nil || r.now >= q.ranAt+c.Window {
		return false
	}
	return c.Group == GroupAll || c.Group == GroupZone && s.Zone == on.Zone ||
		c.Group == GroupCell && s.Cell == on.Cell
}

// ---- Outcomes.

func (r *Router) started(e Started) {
	q := r.requests[e.Request]
	if q == nil || q.phase != writing || e.Attempt != q.sends-1 {
		return
	}
	q.phase = streaming
	if s := r.byID[e.Server]; s != nil {
		s.doneWaiting(q.Request)
		s.streams++
		s.wait.add(r.now, toMS(e.After))
		x := [3]float64{1, float64(q.Prompt) / 1000, q.ahead}
		r.fetch.add(r.now, x, min(toMS(e.After), 4*r.fetch.predict(x)+100))
		r.success(s, q.Class)
	}
}

func (r *Router) ended(e Ended) {
	s := r.byID[e.Server]
	if s != nil && e.Load != nil {
		s.memory, s.backlog = e.Load.Memory, e.Load.Waiting
	}
	q := r.requests[e.Request]
	if q == nil || e.Attempt != q.sends-1 || q.phase == arrived || q.phase == read {
		return
	}
	was := q.phase
	q.freeAt, q.lookAt = r.now, r.now
	if s != nil {
		if was == streaming {
			s.streams--
		}
		s.doneWaiting(q.Request)
		r.judge(s, q, e, was)
	}
	switch {
	case was == settled || e.Final:
		if e.Outcome != Served || was == settled {
			r.emit(Release{q.Request})
		}
		delete(r.requests, q.Request)
	case was == reading:
		r.afterRead(q, e)
	default:
		r.afterWrite(q, e)
	}
}

// judge learns from an outcome about the server it came from.
func (r *Router) judge(s *server, q *request, e Ended, was phase) {
	switch e.Outcome {
	case ReadDone:
		r.success(s, q.Class)
		r.learnRead(s, q, e)
	case Served, Full, NoState:
		r.success(s, q.Class)
	case Errored:
		r.failure(s, q.Class, softWeight, true)
	case ConnectFailed, Reset:
		// Connections break one by one too. A server that answers others meanwhile is not left out at once.
		weight := hardWeight
		if r.now-s.heard < aliveFor {
			weight = aliveWeight
		}
		r.failure(s, q.Class, weight, true)
	case TimedOut:
		if was == reading {
			r.learnRead(s, q, e) // it takes at least as long
		}
		// A reader that has answered since is alive and has a queue: to leave it out would push its part
		// on to the rest, which then time out too. The estimate has learnt of the wait.
		if was == writing || was == reading && s.heard < q.sentAt {
			r.failure(s, q.Class, hardWeight, s.heard < q.sentAt)
		}
	}
	if e.Outcome == Full {
		s.fullTill = r.now + fullFor
		if was == reading { // a full queue takes longer than any class wants to wait
			e.After = fromMS(r.tightest / headroom)
			r.learnRead(s, q, e)
		}
	}
}

// learnRead learns from how long a read took, or from its time-out.
func (r *Router) learnRead(s *server, q *request, e Ended) {
	kept := e.Kept
	if e.Outcome != ReadDone {
		kept = q.promised
	} else if q.promised > 200 {
		r.trust.add(r.now, min(float64(kept)/float64(q.promised), 1))
	}
	if s.health[0].now(r.now) >= ejectAt {
		return
	}
	x, lag := [3]float64{1, float64(max(0, q.Prompt-kept)) / 1000, q.ahead}, r.lag.mean(r.now, 0, lagPrior)
	warmth := r.warmth(s)
	y, expected := toMS(e.After), r.fit.predict(x)/warmth+lag
	s.excess.add(r.now, y-expected)
	if q.load >= 2 {
		r.each.add(r.now, y*warmth/q.load)
	}
	if e.Outcome == Full {
		y = min(y, 4*expected+100) // no measured time: it says less of the others
	}
	r.scatter.add(r.now, math.Abs(y-expected))
	r.lag.add(r.now, y-expected+lag)
	if warmth < 1 {
		return // how fast it is by now is not known
	}
	r.fit.add(r.now, x, min(y-lag, 4*r.fit.predict(x)+100)) // outliers are clipped
}

func (r *Router) afterRead(q *request, e Ended) {
	if e.Outcome == ReadDone {
		q.phase, q.options = read, nil
		r.advance(q)
		return
	}
	// An attempt at a reader has no effect however it ends: another reader may be tried.
	for _, key := range []Key{q.Session, q.Shared} {
		if t := r.table[key]; t != nil && t.reader == e.Server {
			t.tokens = 0
		}
	}
	q.tried = append(q.tried, e.Server)
	q.phase, q.again = arrived, true
	r.advance(q)
}

func (r *Router) afterWrite(q *request, e Ended) {
	if !e.Outcome.NeverRan() && !q.ran {
		q.ran, q.ranAt, q.ranOn = true, q.sentAt, e.Server
	}
	q.again = true
	again := r.cfg.Classes[q.Class].Effect == Safe && q.sends+2 <= r.attempts(q)
	if e.Outcome == NoState || e.Begun && again {
		// Read anew. The state may be gone, or only out of reach: it must not stay pinned meanwhile. Another
		// writer could not find it, and the attempt would be missed for the second read.
		r.emit(Release{q.Request})
		q.phase = arrived
		r.advance(q)
		return
	}
	q.tried = append(q.tried, e.Server)
	if q.ran && r.cfg.Classes[q.Class].Effect == Unsafe {
		r.giveUp(q, 0)
		return
	}
	q.phase = read
	r.advance(q)
}

func (r *Router) clientGone(id RequestID) {
	q := r.requests[id]
	switch {
	case q == nil || q.phase == settled:
		return
	case q.phase == arrived || q.phase == read:
		r.emit(Release{id})
		delete(r.requests, id)
	case q.phase == streaming:
		if s := r.byID[q.server]; s != nil {
			s.streams--
		}
	case r.cfg.MayCancel:
		r.emit(Cancel{id, q.sends - 1})
	}
	q.phase = settled
}

// ---- Final answers.

// giveUp answers a request that has no attempt out: a refusal when that is true, with advice to return about
// when the excess, in ms, should be gone, drawn lest all come back at once; else a failure.
func (r *Router) giveUp(q *request, excess float64) {
	c := r.cfg.Classes[q.Class]
	if q.ran && (c.Effect == Unsafe || c.Effect == Keyed && c.Group != GroupAll) {
		r.settle(q, Fail{q.Request})
		return
	}
	back := min(fromMS(max(excess, 0)), r.cfg.MaxRetryAfter)
	r.settle(q, Refuse{q.Request, time.Duration((0.5 + r.rng.Float64()/2) * float64(back))})
}

// settle is the one exit: it releases what may be held, answers, and forgets the request.
func (r *Router) settle(q *request, answer Action) {
	if q.sends > 0 {
		r.emit(Release{q.Request})
	}
	r.emit(answer)
	delete(r.requests, q.Request)
}
