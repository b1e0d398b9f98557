package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"leverdrum/engine"
)

// verifyCommand sends each kind of request through each entry box and compares
// the answers with the only right ones.
type verifyCommand struct {
	entries, models, service string
	wait                     time.Duration
}

func (*verifyCommand) Name() string { return "verify" }
func (*verifyCommand) Synopsis() string {
	return "send requests through entry boxes and check the answers"
}
func (*verifyCommand) Usage() string {
	return "verify -entries ADDRESSES -models MODEL@VERSION,… -service NAME\n"
}
func (c *verifyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "", "addresses of entry boxes, separated by commas")
	f.StringVar(&c.models, "models", "", "models and adapters with their versions")
	f.StringVar(&c.service, "service", "", "a service")
	f.DurationVar(&c.wait, "wait", 30*time.Second, "how long a model may take to become ready")
}

func (c *verifyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for entry := range strings.SplitSeq(c.entries, ",") {
		if err := c.box(ctx, entry); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", entry, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func (c *verifyCommand) box(ctx context.Context, entry string) error {
	for item := range strings.SplitSeq(c.models, ",") {
		model, version, _ := strings.Cut(item, "@")
		if err := c.awaitReady(ctx, entry, model); err != nil {
			return err
		}
		if err := verifyChat(entry, model, version, false); err != nil {
			return err
		}
		if err := verifyChat(entry, model, version, true); err != nil {
			return err
		}
	}
	return verifyService(entry, c.service)
}

// awaitReady asks until the model is answered for; a refusal says so at once.
func (c *verifyCommand) awaitReady(ctx context.Context, entry, model string) error {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	for {
		resp, err := http.Post("http://"+entry+engine.ChatPath, "application/json", strings.NewReader(`{"model":"`+model+`"}`))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("model %s is not ready in time", model)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func verifyChat(entry, model, version string, stream bool) error {
	body, err := json.Marshal(map[string]any{"model": model, "stream": stream, "messages": []Message{{"user", "hello"}}})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+entry+engine.ChatPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := readCompletion(resp.Body, stream)
	if err != nil {
		return err
	}
	want := strings.Join(ExpectedWords(model, version, body, defaultTokens), " ")
	if got != want {
		return fmt.Errorf("model %s answered %q, not %q", model, got, want)
	}
	fmt.Printf("%s %s stream=%v: %s\n", entry, model, stream, got)
	return nil
}

// readCompletion returns the text of an answer, and an error if it is not whole.
func readCompletion(r io.Reader, stream bool) (string, error) {
	if !stream {
		var c Completion
		if err := json.NewDecoder(r).Decode(&c); err != nil {
			return "", err
		}
		if len(c.Choices) != 1 || c.Choices[0].Message == nil {
			return "", fmt.Errorf("an answer without its choice")
		}
		return c.Choices[0].Message.Content, nil
	}
	return ReadStream(r)
}

// ReadStream returns the text of a stream of events, and an error if it broke
// off or lacks its last event.
func ReadStream(r io.Reader) (string, error) {
	var text strings.Builder
	done := false
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == engine.StreamDone:
			done = true
		case ok:
			var c Completion
			if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 || c.Choices[0].Delta == nil {
				return text.String(), fmt.Errorf("an event that is no part of an answer: %s", data)
			}
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	if err := scanner.Err(); err != nil {
		return text.String(), err
	}
	if !done {
		return text.String(), fmt.Errorf("a stream without its last event")
	}
	return strings.TrimSpace(text.String()), nil
}

func verifyService(entry, name string) error {
	for _, call := range []struct{ method, path, body string }{
		{http.MethodGet, "/stock/42?fresh=1", ""}, {http.MethodPost, "/orders", "two copies"},
	} {
		req, err := http.NewRequest(call.method, "http://"+entry+"/services/"+name+call.path, strings.NewReader(call.body))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		var a ServiceResponse
		err = json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		if err != nil {
			return err
		}
		if a.Method != call.method || a.Path != call.path || a.Body != call.body || a.Run != 1 {
			return fmt.Errorf("service %s answered %+v to %+v", name, a, call)
		}
		fmt.Printf("%s %s %s %s: run %d\n", entry, name, call.method, call.path, a.Run)
	}
	return nil
}
