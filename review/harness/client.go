package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

func newID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMb      int   `json:"memMb"`
	EstimateMs int   `json:"estimateMs"`
	After      []int `json:"after,omitempty"`
}

// jobBody returns a best-effort job of some tasks that run for the given time.
func jobBody(ms, cpu, tasks int, later ...step) []byte {
	body, _ := json.Marshal(map[string]any{
		"spec": fmt.Sprintf("ms=%d cpu=%d", ms, cpu), "bestEffort": true,
		"steps": append([]step{{Count: tasks, CPU: cpu, MemMb: 64, EstimateMs: ms}}, later...),
	})
	return body
}

// call sends one request on a connection of its own. The deadline is also how long the
// client says that it waits.
func call(method, address, path string, body []byte, deadline time.Duration) (int, string, error) {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = routeHost
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Cactuspost-Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
