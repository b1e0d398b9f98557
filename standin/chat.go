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

// defaultTokens is the length of an answer that was not asked for in tokens.
const defaultTokens = 8

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	q := &chatRequest{}
	if err != nil || json.Unmarshal(body, q) != nil {
		http.Error(w, "not a chat request", http.StatusBadRequest)
		return
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultTokens
	}
	f := e.next()
	f.speak(w)
	e.setID(w, r, f)
	version, resident := e.find(q.Model)
	if !resident || f.refuses() {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	release, ok := e.enter(r.Context())
	if !ok {
		return
	}
	defer release()
	e.ran(r)
	if f.Status != 0 {
		http.Error(w, "failed", f.Status)
		return
	}
	if !wait.For(r.Context(), time.Duration(f.DelayMs)*time.Millisecond) {
		e.cancelled()
		return
	}
	if f.DisconnectBeforeResponse {
		breakOff()
	}
	if !wait.For(r.Context(), e.prefixes.read(q.Model, q.Messages)) {
		e.cancelled()
		return
	}
	w.Header().Set(engine.HeaderVersion, version)
	words := ExpectedWords(q.Model, version, body, q.MaxTokens)
	if q.Stream {
		e.stream(w, r, f, q.Model, words)
		return
	}
	e.whole(w, r, f, q.Model, words)
}

func (e *Engine) setID(w http.ResponseWriter, r *http.Request, f Faults) {
	id := r.Header.Get(engine.HeaderAttemptID)
	if f.WrongID {
		id = "of-another"
	}
	w.Header().Set(engine.HeaderAttemptID, id)
}

// ExpectedWords returns the words of the only right answer to a request.
func ExpectedWords(model, version string, body []byte, n int) []string {
	h := fnv.New64a()
	h.Write(body)
	words := []string{model + "@" + version, hex.EncodeToString(h.Sum(nil))}
	for i := len(words); i < n; i++ {
		words = append(words, fmt.Sprintf("w%d", i))
	}
	return words
}

// find returns the version of a model or adapter that is ready.
func (e *Engine) find(name string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.residents {
		if !r.Loading && (r.Adapter == name || r.Adapter == "" && r.Model == name) {
			return r.Version, true
		}
	}
	e.account.NotResident++
	return "", false
}

// enter waits for a place in the batch.
func (e *Engine) enter(ctx context.Context) (release func(), ok bool) {
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

func (e *Engine) ran(r *http.Request) {
	id := r.Header.Get(engine.HeaderAttemptID)
	if i := strings.LastIndexByte(id, '.'); i > 0 {
		id = id[:i]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account.Runs[id]++
}

func (e *Engine) cancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account.Cancelled++
}

// generate waits for the time of n tokens; false when the request was cancelled.
func (e *Engine) generate(ctx context.Context, n int) bool {
	if !wait.For(ctx, time.Duration(n)*e.opts.TokenTime) || ctx.Err() != nil {
		e.cancelled()
		return false
	}
	return true
}

// Completion is a whole answer.
type Completion struct {
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is the only choice of an answer, or a part of it in a stream.
type Choice struct {
	Message *Message `json:"message,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
}

// Message is a text.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, f Faults, model string, words []string) {
	if !e.generate(r.Context(), len(words)) {
		return
	}
	body, err := json.Marshal(Completion{"chat.completion", model, []Choice{{Message: &Message{"assistant", strings.Join(words, " ")}}}})
	if err != nil {
		breakOff()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if f.DisconnectAfter > 0 && f.DisconnectAfter < len(body) {
		_, _ = w.Write(body[:f.DisconnectAfter])
		_ = http.NewResponseController(w).Flush()
		breakOff()
	}
	_, _ = w.Write(body)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, f Faults, model string, words []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	sent := 0
	for i := e.resumeAt(r, len(words)); i < len(words); i++ {
		if !e.generate(r.Context(), 1) {
			return
		}
		data, err := json.Marshal(Completion{"chat.completion.chunk", model, []Choice{{Delta: &Message{Content: words[i] + " "}}}})
		if err != nil {
			breakOff()
		}
		id := ""
		if e.opts.ResumesStreams {
			id = fmt.Sprintf("id: %d\n", i+1)
		}
		n, _ := fmt.Fprintf(w, "%sdata: %s\n\n", id, data)
		_ = flush.Flush()
		if sent += n; f.DisconnectAfter > 0 && sent >= f.DisconnectAfter {
			breakOff()
		}
		if f.StallAfter > 0 && sent >= f.StallAfter {
			<-r.Context().Done()
			e.cancelled()
			return
		}
	}
	if f.OmitLastEvent {
		return
	}
	fmt.Fprintf(w, "%s\n\n", engine.StreamDone)
}

// resumeAt returns the index of the first word that the request still wants.
func (e *Engine) resumeAt(r *http.Request, words int) int {
	at, err := strconv.Atoi(r.Header.Get(engine.HeaderLastEvent))
	if !e.opts.ResumesStreams || err != nil || at < 0 || at > words {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account.Resumed++
	return at
}
