package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/nutmegway/nutmegway/internal/lab/deployment"
)

const (
	workerCount     = 32
	tokensPerAnswer = 100
)

func smallShape() deployment.Shape {
	shape := deployment.Brazos()
	shape.Engines, shape.Nodes, shape.Plains = 4, 1, 1
	return shape
}

// measureByRequests measures the processor time of small calls at several rates,
// including that of the callers and the server stand-ins.
func (c Capacity) measureByRequests(ctx context.Context) ([]Slope, error) {
	values := series{}
	const cost = "processor, cores for all requests"
	for _, perSecond := range []int{500, 1000, 2000, 4000} {
		before, after, err := c.measureWindow(ctx, smallShape(), func(ctx context.Context, d *deployment.Deployment) error {
			target := "http://" + d.Nodes[0].CallerAddress + "/v1/plain/" + d.Shape.PlainService + "/checks/1"
			return c.sendAtRate(ctx, perSecond, func(ctx context.Context, client *http.Client) error {
				return send(ctx, client, http.MethodGet, target, "")
			})
		})
		if err != nil {
			return nil, err
		}
		values.add(cost, perSecond, (after.cpu-before.cpu).Seconds()/after.at.Sub(before.at).Seconds())
		fmt.Fprintf(c.Progress, "measured requests-per-second=%d\n", perSecond)
	}
	return []Slope{{Cost: cost, Design: designRequestsPerSecond, Points: values[cost], Role: "entry host, small calls", Size: "requests a second"}}, nil
}

// measureByTokens measures the processor time of streamed tokens at several rates,
// including that of the callers and the engine stand-ins.
func (c Capacity) measureByTokens(ctx context.Context) ([]Slope, error) {
	values := series{}
	const cost = "processor, cores for all tokens"
	for _, streams := range []int{20, 40, 80, 160} {
		before, after, err := c.measureWindow(ctx, smallShape(), func(ctx context.Context, d *deployment.Deployment) error {
			body := fmt.Sprintf(`{"model":%q,"prompt":"[tokens=%d]","max_tokens":%d,"stream":true}`,
				d.Shape.EngineService, tokensPerAnswer, tokensPerAnswer)
			return c.sendAtRate(ctx, streams, func(ctx context.Context, client *http.Client) error {
				return send(ctx, client, http.MethodPost, "http://"+d.Nodes[0].CallerAddress+"/v1/completions", body)
			})
		})
		if err != nil {
			return nil, err
		}
		values.add(cost, streams*tokensPerAnswer, (after.cpu-before.cpu).Seconds()/after.at.Sub(before.at).Seconds())
		fmt.Fprintf(c.Progress, "measured tokens-per-second=%d\n", streams*tokensPerAnswer)
	}
	return []Slope{{Cost: cost, Design: designTokensPerSecond, Points: values[cost], Role: "entry host, streams", Size: "tokens a second"}}, nil
}

// sendAtRate sends perSecond requests a second for the duration of a measurement.
func (c Capacity) sendAtRate(ctx context.Context, perSecond int, request func(ctx context.Context, client *http.Client) error) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workerCount}}
	defer client.CloseIdleConnections()
	limit := rate.NewLimiter(rate.Limit(perSecond), workerCount)
	end := time.Now().Add(c.Duration)
	group, ctx := errgroup.WithContext(ctx)
	for range workerCount {
		group.Go(func() error {
			for time.Now().Before(end) {
				if err := limit.Wait(ctx); err != nil {
					return err
				}
				if err := request(ctx, client); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}

func send(ctx context.Context, client *http.Client, method, target, body string) error {
	request, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	if response.StatusCode != http.StatusOK {
		return Error.New("%s %s: got status %d, want %d", method, target, response.StatusCode, http.StatusOK)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
