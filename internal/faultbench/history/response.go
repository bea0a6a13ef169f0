package history

// checkResponses checks RuleSingleResponse: each request that a live dispatcher accepted gets exactly one final
// response in time, generated for it by a replica, and nothing else. The time of a stream's first event decides whether
// the stream is in time: "Once a stream has commenced, no deadline applies".
func (c *checker) checkResponses() {
	pending, answered := map[string]Event{}, map[string]bool{}
	for _, e := range c.events {
		switch e.Kind {
		case RequestSent:
			pending[e.Request] = e
		case FirstEventReceived, ResponseReceived:
			final := e.Kind == ResponseReceived
			if final && answered[e.Request] {
				c.report(RuleSingleResponse, e, "a second final answer")
			}
			if sent, ok := pending[e.Request]; ok {
				c.checkResponseInTime(sent, e)
			}
			delete(pending, e.Request)
			answered[e.Request] = answered[e.Request] || final
		case ExtraBytesReceived:
			c.report(RuleSingleResponse, e, "bytes behind the final answer")
		case ForeignDataReceived:
			c.report(RuleSingleResponse, e, "served with what no replica made for it")
		case ClientGaveUp:
			if sent, ok := pending[e.Request]; ok {
				c.checkGivenUp(sent, e)
			}
			delete(pending, e.Request)
		}
	}
}

// checkResponseInTime reports a response that arrived after its client's deadline. It exempts a response that a fault
// on the client's link may have delayed, and one of a process that was down.
func (c *checker) checkResponseInTime(sent, response Event) {
	latest := sent.Until + c.rules.AnswerSlack + c.rules.Slack
	if response.At > latest && response.LinkHealthy && !c.wasDown(sent.Dispatcher, sent.At, response.At) {
		c.report(RuleSingleResponse, response, "answered %v after the deadline", response.At-sent.Until)
	}
}

// checkGivenUp reports a request that its client gave up. Before the deadline the client gives up because it lost its
// connection, after the deadline because no response arrived.
func (c *checker) checkGivenUp(sent, givenUp Event) {
	if givenUp.LinkHealthy && !c.wasDown(sent.Dispatcher, sent.At, max(givenUp.At, sent.Until)) {
		c.report(RuleSingleResponse, givenUp, "no final answer by dispatcher %d", sent.Dispatcher)
	}
}
