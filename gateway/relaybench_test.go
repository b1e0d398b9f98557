package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkDelimitedStream forwards streams of one event in a chunk.
func BenchmarkDelimitedStream(b *testing.B) {
	benchmarkResponses(b, "/once/x", func(c net.Conn, id string) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", id, chunk("id: 1\ndata: x\n\n"))
		return true
	})
}

// BenchmarkDelimitedResponse forwards plain responses with a length.
func BenchmarkDelimitedResponse(b *testing.B) { benchmarkResponses(b, "/unsafe/x", answerOK) }

func benchmarkResponses(b *testing.B, path string, respond script) {
	s := newSetup(b, 5*time.Second, newBackend(b, "i1", respond))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r, err := http.NewRequest(http.MethodPost, "http://"+s.address+path, strings.NewReader("ab"))
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "h.example"
		r.Header.Set("X-Request-Id", fmt.Sprint("b", n))
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status, err)
		}
	}
}
