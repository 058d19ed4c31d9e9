package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	adminTimeout   = 25 * time.Second
	maxAnswerBytes = 16 << 20
)

// adminFlags say which entry VM's administration API to ask.
type adminFlags struct {
	Admin string `help:"Address (host:port) of an entry VM's administration API." default:"127.0.0.1:9000" env:"AZUREFLOW_ADMIN"`
	Token string `help:"Bearer token of the API." env:"AZUREFLOW_TOKEN"`
}

// url returns the URL of a page.
func (a adminFlags) url(page string) string { return "http://" + a.Admin + page }

// get reads a page into v.
func (a adminFlags) get(ctx context.Context, page string, v any) error {
	return getJSON(ctx, a.url(page), a.Token, v)
}

// copyPage copies a page to w.
func (a adminFlags) copyPage(ctx context.Context, page string, w io.Writer) error {
	body, err := open(ctx, a.url(page), a.Token)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	_, err = io.Copy(w, body)
	return err
}

func getJSON(ctx context.Context, url, token string, v any) error {
	body, err := open(ctx, url, token)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	return json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(v)
}

// open returns the body of an answer with status 200.
func open(ctx context.Context, url, token string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &inputError{reason: err.Error()}
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	client := http.Client{Timeout: adminTimeout}
	answer, err := client.Do(req)
	if err != nil {
		return nil, &unreachableError{what: "entry VM", cause: err}
	}
	if answer.StatusCode == http.StatusOK {
		return answer.Body, nil
	}
	defer func() { _ = answer.Body.Close() }()
	const enough = 4096 // bytes of a problem
	text, _ := io.ReadAll(io.LimitReader(answer.Body, enough))
	return nil, &inputError{reason: answer.Status + ": " + string(text)}
}
