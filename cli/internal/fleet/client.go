package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/client"
)

// ResourceClient returns a client of the resource API on all entries.
func (f *Fleet) ResourceClient() *client.Client {
	c := &client.Client{}
	for _, e := range f.Entries() {
		c.Entries = append(c.Entries, e.operatorsURL())
	}
	return c
}

// ResourceClient returns a client of the resource API on this entry alone.
func (e *Entry) ResourceClient() *client.Client {
	return &client.Client{Entries: []string{e.operatorsURL()}}
}

func (e *Entry) operatorsURL() string { return "http://" + e.Process.Addresses().Operators.String() }

// Declare writes resources in the given order.
func (f *Fleet) Declare(ctx context.Context, resources ...*api.Resource) error {
	c := f.ResourceClient()
	for _, r := range resources {
		if _, err := c.Put(ctx, r, client.PutOptions{}); err != nil {
			return fmt.Errorf("declare %s %q: %w", r.Kind, r.Name, err)
		}
	}
	return nil
}

// CallOptions describe one request.
type CallOptions struct {
	Service, Path, Key string
	Body               []byte
	Header             http.Header
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one request to an entry and reads the complete response. It returns
// an error if the response is truncated.
func Call(ctx context.Context, e *Entry, call CallOptions) (Response, error) {
	url := "http://" + e.Process.Addresses().Callers.String() + "/v1/services/" + call.Service + call.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, err
	}
	request.Header.Set("Authorization", "Bearer "+call.Key)
	for name, value := range call.Header {
		request.Header[name] = value
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, err
}
