package standin

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"leverdrum/engine"
	"leverdrum/internal/wait"
)

type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
}

// defaultTokens is the response length where the request sets no max_tokens.
const defaultTokens = 8

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	q := &chatRequest{}
	if err != nil || json.Unmarshal(body, q) != nil {
		http.Error(w, "malformed chat request", http.StatusBadRequest)
		return
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultTokens
	}
	f := e.nextRequest()
	f.setHeaders(w)
	e.setAttemptID(w, r, f)
	version, resident := e.readyVersion(q.Model)
	if !resident || f.rejects() {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	release, ok := e.acquireSlot(r.Context())
	if !ok {
		return
	}
	defer release()
	e.recordRun(r)
	if f.Status != 0 {
		http.Error(w, "failed", f.Status)
		return
	}
	if !wait.For(r.Context(), time.Duration(f.DelayMs)*time.Millisecond) {
		e.recordCancelled()
		return
	}
	if f.DisconnectBeforeResponse {
		abortConnection()
	}
	if !wait.For(r.Context(), e.prefixes.prefill(q.Model, q.Messages)) {
		e.recordCancelled()
		return
	}
	w.Header().Set(engine.HeaderVersion, version)
	words := ExpectedWords(q.Model, version, body, q.MaxTokens)
	if q.Stream {
		e.writeStream(w, r, f, q.Model, words)
		return
	}
	e.writeCompletion(w, r, f, q.Model, words)
}

func (e *Engine) setAttemptID(w http.ResponseWriter, r *http.Request, f Faults) {
	id := r.Header.Get(engine.HeaderAttemptID)
	if f.WrongID {
		id = "of-another"
	}
	w.Header().Set(engine.HeaderAttemptID, id)
}

// ExpectedWords returns the words of the only correct response to a request.
func ExpectedWords(model, version string, body []byte, n int) []string {
	h := fnv.New64a()
	h.Write(body)
	words := []string{model + "@" + version, hex.EncodeToString(h.Sum(nil))}
	for i := len(words); i < n; i++ {
		words = append(words, fmt.Sprintf("w%d", i))
	}
	return words
}

// readyVersion returns the version of the named model or adapter that is resident and ready. If there is none, it counts the
// request as not resident.
func (e *Engine) readyVersion(name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.residents {
		if !r.Loading && (r.Adapter == name || r.Adapter == "" && r.Model == name) {
			return r.Version, true
		}
	}
	e.stats.NotResident++
	return "", false
}

// acquireSlot waits for a batch slot. It fails if ctx is cancelled first.
func (e *Engine) acquireSlot(ctx context.Context) (release func(), ok bool) {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		<-e.slots
	}, true
}

func (e *Engine) recordRun(r *http.Request) {
	id := r.Header.Get(engine.HeaderAttemptID)
	if i := strings.LastIndexByte(id, '.'); i > 0 {
		id = id[:i]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Runs[id]++
}

func (e *Engine) recordCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}

// generate waits for the generation time of n tokens. It returns false if the request was cancelled.
func (e *Engine) generate(ctx context.Context, n int) bool {
	if !wait.For(ctx, time.Duration(n)*e.opts.TokenTime) || ctx.Err() != nil {
		e.recordCancelled()
		return false
	}
	return true
}

// Completion is a chat completion, or one chunk of it in a stream.
type Completion struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is the single choice of a completion: the whole message, or its next part in a stream.
type Choice struct {
	Message *Message `json:"message,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, f Faults, model string, words []string) {
	if !e.generate(r.Context(), len(words)) {
		return
	}
	body, err := json.Marshal(Completion{"chat.completion", model, []Choice{{Message: &Message{"assistant", strings.Join(words, " ")}}}})
	if err != nil {
		abortConnection()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if f.DisconnectAfter > 0 && f.DisconnectAfter < len(body) {
		_, _ = w.Write(body[:f.DisconnectAfter])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	_, _ = w.Write(body)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, f Faults, model string, words []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	sent := 0
	for i := e.resumeIndex(r, len(words)); i < len(words); i++ {
		if !e.generate(r.Context(), 1) {
			return
		}
		data, err := json.Marshal(Completion{"chat.completion.chunk", model, []Choice{{Delta: &Message{Content: words[i] + " "}}}})
		if err != nil {
			abortConnection()
		}
		id := ""
		if e.opts.ResumesStreams {
			id = fmt.Sprintf("id: %d\n", i+1)
		}
		n, _ := fmt.Fprintf(w, "%sdata: %s\n\n", id, data)
		_ = flush.Flush()
		if sent += n; f.DisconnectAfter > 0 && sent >= f.DisconnectAfter {
			abortConnection()
		}
		if f.StallAfter > 0 && sent >= f.StallAfter {
			<-r.Context().Done()
			e.recordCancelled()
			return
		}
	}
	if f.OmitLastEvent {
		return
	}
	fmt.Fprintf(w, "%s\n\n", engine.StreamDone)
}

// resumeIndex returns the index of the first word to send, which follows the event named in Last-Event-Id.
func (e *Engine) resumeIndex(r *http.Request, words int) int {
	index, err := strconv.Atoi(r.Header.Get(engine.HeaderLastEvent))
	if !e.opts.ResumesStreams || err != nil || index < 0 || index > words {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Resumed++
	return index
}
