// Package reply ends responses truthfully. net/http answers 200 with an empty body for a handler that returns without writing
// anything, although no server has answered.
package reply

import "net/http"

// Serve calls a handler. If it returns without writing a response, the connection is aborted.
func Serve(w http.ResponseWriter, r *http.Request, handle http.HandlerFunc) {
	t := &tracker{ResponseWriter: w}
	handle(t, r)
	if !t.began {
		panic(http.ErrAbortHandler)
	}
}

// tracker records whether a final response has begun.
type tracker struct {
	http.ResponseWriter
	began bool
}

// WriteHeader implements http.ResponseWriter.
func (t *tracker) WriteHeader(status int) {
	t.began = t.began || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *tracker) Write(b []byte) (int, error) {
	t.began = true
	return t.ResponseWriter.Write(b)
}

// FlushError flushes what was written; http.ResponseController calls it.
func (t *tracker) FlushError() error {
	t.began = true
	return http.NewResponseController(t.ResponseWriter).Flush()
}

// Unwrap returns the writer for http.ResponseController.
func (t *tracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }
