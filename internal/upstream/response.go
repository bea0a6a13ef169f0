package upstream

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"strings"

	"rampspread/internal/dispatch"
	"rampspread/routing"
)

const (
	loadHeader         = "Endpoint-Load-Metrics"
	neverRanHeader     = "X-Never-Ran"           // "1" proves that no part of the call ran
	loadLinePrefix     = ": " + loadHeader + ":" // starts a comment line with a load report in a stream
	loadReportPrefix   = "TEXT "
	maxLoadReportValue = 1e9
)

// shortResult converts a response that is not a stream into the attempt's result; err is the error of reading its body.
func (c *Client) shortResult(resp *http.Response, data []byte, err error) dispatch.AttemptResult {
	result := dispatch.AttemptResult{Outcome: routing.ErrorResponse, Load: c.parseLoadReport(resp.Header.Get(loadHeader))}
	neverRan := resp.Header.Get(neverRanHeader) == "1"
	switch resp.StatusCode {
	case http.StatusAccepted:
		// The status says that the prefill is done, even if the body cannot be read.
		result.Outcome = routing.PrefillDone
		result.CachedTokens = c.prefillCachedTokens(data, err)
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if neverRan {
			result.Outcome = routing.QueueFull
		}
	case http.StatusGone:
		if neverRan {
			result.Outcome = routing.PrefillResultMissing
		}
	case http.StatusInternalServerError:
	default:
		c.malformed.Add(1)
		slog.Warn("unexpected_status", "status", resp.StatusCode)
	}
	return result
}

// prefillCachedTokens returns the number of cached tokens in the body of a finished prefill, or 0 if the body could not
// be read.
func (c *Client) prefillCachedTokens(data []byte, err error) int {
	var prefill struct {
		CachedTokens int `json:"cached_tokens"`
	}
	if err == nil {
		err = json.Unmarshal(data, &prefill)
	}
	if err != nil {
		c.malformed.Add(1)
	}
	return max(prefill.CachedTokens, 0)
}

// parseLoadReport parses a load report such as "TEXT inflight=7, util=0.61". It returns nil if there is no report, if
// the report is malformed, or if a configured field is missing.
func (c *Client) parseLoadReport(text string) *routing.LoadReport {
	list, ok := strings.CutPrefix(strings.TrimSpace(text), loadReportPrefix)
	if !ok {
		if text != "" {
			c.malformed.Add(1)
		}
		return nil
	}
	values := map[string]float32{}
	for _, item := range strings.Split(list, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(item), "=")
		value, err := strconv.ParseFloat(number, 32)
		if err != nil || !(value >= 0 && value < maxLoadReportValue) { // the negation also rejects NaN
			c.malformed.Add(1)
			return nil
		}
		values[name] = float32(value)
	}
	fields := make([]float32, 0, len(c.settings.Telemetry.Fields))
	for _, name := range c.settings.Telemetry.Fields {
		value, ok := values[name]
		if !ok {
			return nil
		}
		fields = append(fields, value)
	}
	return c.settings.LoadReport(fields)
}

// parseTail parses the last lines of a stream: the number of prompt tokens that were cached, and the load report in a
// comment.
func (c *Client) parseTail(tail []byte) (cachedTokens int, load *routing.LoadReport) {
	for line := range strings.Lines(string(tail)) {
		line = strings.TrimSpace(line)
		if report, ok := strings.CutPrefix(line, loadLinePrefix); ok {
			load = c.parseLoadReport(report)
			continue
		}
		object, ok := strings.CutPrefix(line, dataField+" {")
		if !ok || !strings.Contains(object, `"usage"`) {
			continue
		}
		var event struct {
			Usage struct {
				Details struct {
					Cached int `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte("{"+object), &event); err != nil {
			c.malformed.Add(1)
			continue
		}
		cachedTokens = max(event.Usage.Details.Cached, 0)
	}
	return cachedTokens, load
}
