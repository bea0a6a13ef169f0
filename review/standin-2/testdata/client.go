package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// post sends one request to the chat API on a new connection and prints what came back, as one line: status, error code,
// whether the answer was replayed, and the answer's text. Without an answer it prints status=0.
func post(args []string) {
	var addr, key, model, text, expires, file, label string
	var timeout time.Duration
	var stream bool
	parse("post", args, func(f *flag.FlagSet) {
		f.StringVar(&addr, "addr", "", "the address of the chat API")
		f.StringVar(&key, "key", "", "the Idempotency-Key; none if empty")
		f.StringVar(&model, "model", "korrektur-meldung", "the model")
		f.StringVar(&text, "text", "", "the user's message")
		f.StringVar(&expires, "expires", "", "the header X-Expires-In; none if empty")
		f.StringVar(&file, "record", "", "the record file")
		f.StringVar(&label, "label", "client", "the client's name in the record")
		f.DurationVar(&timeout, "timeout", 25*time.Second, "when the client gives up")
		f.BoolVar(&stream, "stream", false, "ask for a stream")
	})
	rec := newRecord(file)
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []any{map[string]string{"role": "user", "content": text}},
	})
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		fail("%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if expires != "" {
		req.Header.Set("X-Expires-In", expires)
	}
	rec.add(label, "sent to=%s key=%s text=%q expires=%s", addr, key, text, expires)
	result := send(req, timeout, stream)
	rec.add(label, "got key=%s %s", key, result)
	fmt.Println(result)
}

func send(req *http.Request, timeout time.Duration, stream bool) string {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Sprintf("status=0 code=none replayed=false text=\"\" err=%q", err)
	}
	defer resp.Body.Close()
	replayed := resp.Header.Get("Idempotent-Replayed") == "true"
	var code, text string
	var failure error
	if stream && resp.StatusCode == http.StatusOK {
		text, failure = readStream(resp.Body)
	} else {
		code, text, failure = readAnswer(resp.Body)
	}
	result := fmt.Sprintf("status=%d code=%s replayed=%t text=%q retry_after=%s should_retry=%s", resp.StatusCode,
		orNone(code), replayed, text, orNone(resp.Header.Get("Retry-After")), orNone(resp.Header.Get("X-Should-Retry")))
	if failure != nil {
		result += fmt.Sprintf(" err=%q", failure)
	}
	return result
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func readAnswer(r io.Reader) (code, text string, err error) {
	data, err := io.ReadAll(r)
	var answer struct {
		Error   struct{ Code string }
		Choices []struct{ Message struct{ Content string } }
	}
	if jsonErr := json.Unmarshal(data, &answer); err == nil {
		err = jsonErr
	}
	if len(answer.Choices) > 0 {
		text = answer.Choices[0].Message.Content
	}
	return answer.Error.Code, text, err
}

func readStream(r io.Reader) (text string, err error) {
	lines, done := bufio.NewScanner(r), false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	if err = lines.Err(); err == nil && !done {
		err = io.ErrUnexpectedEOF
	}
	return text, err
}

// get makes one GET call and prints the status, or 0 without an answer.
func get(args []string) {
	var url, file, label string
	parse("get", args, func(f *flag.FlagSet) {
		f.StringVar(&url, "url", "", "the URL")
		f.StringVar(&file, "record", "", "the record file")
		f.StringVar(&label, "label", "front", "the caller's name in the record")
	})
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	status, body := 0, ""
	if err == nil {
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		status, body = resp.StatusCode, strings.TrimSpace(string(data))
	}
	newRecord(file).add(label, "GET %s answered status=%d %s", url, status, body)
	fmt.Println(status, body)
}

// call makes one operators' call and prints the answer.
func call(args []string) {
	var addr, file string
	f := parse("call", args, func(f *flag.FlagSet) {
		f.StringVar(&addr, "addr", "", "the ops address")
		f.StringVar(&file, "record", "", "the record file")
	})
	answer := operatorsCall(addr, strings.Join(f.Args(), " "))
	newRecord(file).add("operator", "call to=%s %s answered %q", addr, strings.Join(f.Args(), " "), answer)
	fmt.Println(answer)
}

func operatorsCall(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintln(conn, line)
	answer, _ := io.ReadAll(conn)
	return strings.TrimSpace(string(answer))
}

// platform sends one request to the platform's front on a new connection and prints the status, or 0 without an answer.
func platform(args []string) {
	var addr, file string
	parse("platform", args, func(f *flag.FlagSet) {
		f.StringVar(&addr, "addr", "", "the address of the front")
		f.StringVar(&file, "record", "", "the record file")
	})
	rec := newRecord(file)
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	body := `{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"question ` + id + `"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	for name, value := range map[string]string{"X-Trace-Id": id, "X-Qos": "parzellen-frage", "X-Object": "o" + id,
		"X-Expires-In": "4800m", "X-Props": "prompt_len=8,max_out=80"} {
		req.Header.Set(name, value)
	}
	rec.add("client", "sent id=%s to=%s", id, addr)
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	status, text := 0, ""
	if resp, err := client.Do(req); err == nil {
		status = resp.StatusCode
		text, err = readStream(resp.Body)
		resp.Body.Close()
		rec.add("client", "got id=%s status=%d text=%q err=%v", id, status, text, err)
	} else {
		rec.add("client", "got id=%s no answer: %v", id, err)
	}
	fmt.Println(status)
}
