package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"leverdrum/admin"
	"leverdrum/certs"
)

// callTimeout bounds one call to a box.
const callTimeout = 10 * time.Second

// client calls the operators' interface of boxes, in order, until one answers.
type client struct {
	addresses, certificate, key, authority string
}

// reply is a box's response.
type reply struct {
	status int
	body   []byte
}

var errUnreachable = errors.New("no box answered")

// errUnknownOutcome reports that a call was sent but not answered.
var errUnknownOutcome = errors.New("a box received the call but did not answer; the call may have been executed")

func (c *client) call(ctx context.Context, method, path string, body []byte, operator string) (*reply, error) {
	if c.addresses == "" {
		return nil, fmt.Errorf("%w: set -box or LEVERDRUM_BOX", errUnreachable)
	}
	hc, scheme, err := c.http()
	if err != nil {
		return nil, err
	}
	var lastErr error
	sent := false
	for address := range strings.SplitSeq(c.addresses, ",") {
		r, err := sendCall(ctx, hc, scheme+strings.TrimSpace(address), method, path, body, operator)
		if err == nil {
			return r, nil
		}
		sent = sent || !isConnectError(err)
		lastErr = err
	}
	if sent && method != http.MethodGet {
		return nil, fmt.Errorf("%w: %w", errUnknownOutcome, lastErr)
	}
	return nil, fmt.Errorf("%w: %w", errUnreachable, lastErr)
}

func isConnectError(err error) bool {
	return strings.Contains(err.Error(), "dial ") || strings.Contains(err.Error(), "tls:")
}

func (c *client) http() (*http.Client, string, error) {
	if c.certificate == "" {
		return &http.Client{Timeout: callTimeout}, "http://", nil
	}
	source, err := certs.Open(certs.Files{Certificate: c.certificate, Key: c.key, Authority: c.authority}, zap.NewNop())
	if err != nil {
		return nil, "", err
	}
	config := source.Client("")
	// Certificates of boxes hold the box name instead of its address, so the
	// chain is verified against the authority, but the host name is not.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(s tls.ConnectionState) error { return certs.VerifyChain(config.RootCAs, s) }
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: config}}, "https://", nil
}

func sendCall(ctx context.Context, hc *http.Client, base, method, path string, body []byte, operator string) (*reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(admin.HeaderOperator, operator)
	resp, err := hc.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &reply{resp.StatusCode, data}, nil
}
