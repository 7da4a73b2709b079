package overload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegway/nutmegway/internal/backend/engine"
	"github.com/nutmegway/nutmegway/internal/base/httperror"
	"github.com/nutmegway/nutmegway/internal/base/kind"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/request/dispatch"
	standin "github.com/nutmegway/nutmegway/internal/standin/engine"
)

const (
	// checkShare is the share of the offered tokens that checks request.
	checkShare = 0.5
	// requestTimeout is the deadline of a check or a rollout, measured from its start.
	requestTimeout = 5 * time.Second
)

// trainers are the sources of rollouts with their shares of the rollout tokens.
// At three times the capacity each of them offers more than its fair share.
var trainers = []struct {
	name  string
	share float64
}{{"assessments", 0.5}, {"notes", 0.25}, {"summaries", 0.25}}

// loadGenerator sends checks and rollouts at a rate that does not depend on the
// answers (open loop).
type loadGenerator struct {
	deployed *deployment.Deployment
	duration time.Duration
	load     float64
	phase    *phase
	seed     uint64
}

// run generates the load and waits for all answers.
func (g loadGenerator) run(ctx context.Context) {
	capacity := float64(g.deployed.Shape.Engines) * engineSlots * tokensPerSecond / (1 + standin.DefaultBatchSlowdown*(engineSlots-1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10}}
	defer client.CloseIdleConnections()
	var group errgroup.Group
	g.phase.duration = g.duration
	if g.load < 1 {
		g.generateArrivals(ctx, &group, 0, capacity*g.load/checkTokens, func(id, prompt string) { g.sendCheck(ctx, client, id, prompt) })
		_ = group.Wait() // The requests record their outcomes in the phase.
		return
	}
	var sources errgroup.Group
	sources.Go(func() error {
		g.generateArrivals(ctx, &group, 0, checkShare*capacity*g.load/checkTokens, func(id, prompt string) { g.sendCheck(ctx, client, id, prompt) })
		return nil
	})
	for i, trainer := range trainers {
		sources.Go(func() error {
			rate := (1 - checkShare) * trainer.share * capacity * g.load / rolloutTokens
			g.generateArrivals(ctx, &group, i+1, rate, func(id, prompt string) { g.sendRollout(ctx, trainer.name, id, prompt) })
			return nil
		})
	}
	_ = sources.Wait() // The sources return no error.
	_ = group.Wait()
}

// generateArrivals starts requests with exponentially distributed intervals.
func (g loadGenerator) generateArrivals(ctx context.Context, group *errgroup.Group, source int, rate float64, send func(id, prompt string)) {
	random := rand.New(rand.NewPCG(g.seed, uint64(source)))
	start := time.Now()
	next := time.Duration(0)
	for n := 0; ; n++ {
		next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if next > g.duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(start.Add(next)))
		tokens := rolloutTokens
		if source == 0 {
			tokens = checkTokens
		}
		tokens = tokens/2 + random.IntN(tokens)
		id := fmt.Sprintf("%s-%d-%d", g.phase.name, source, n)
		prompt := fmt.Sprintf("[tokens=%d] filing %s", tokens, id)
		group.Go(func() error {
			send(id, prompt)
			return nil
		})
	}
}

// sendCheck sends one request to a node, as a caller does.
func (g loadGenerator) sendCheck(ctx context.Context, client *http.Client, id, prompt string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"max_tokens": 2 * checkTokens, "model": g.deployed.Shape.EngineService, "prompt": prompt, "seed": 1,
	})
	if err != nil {
		return
	}
	nodes := g.deployed.Nodes
	node := nodes[len(id)%len(nodes)]
	if _, number, ok := strings.Cut(id, "-0-"); ok {
		node = nodes[hash(number)%len(nodes)]
	}
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.CallerAddress+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set(httperror.HeaderDeadline, started.Add(requestTimeout).Format(time.RFC3339Nano))
	request.Header.Set(httperror.HeaderRequestID, id)
	text, tokens, err := readAnswer(client, request)
	g.phase.add(outcome{
		started: started, check: true, err: err, prompt: prompt, share: "checks", text: text, tokens: tokens, latency: time.Since(started),
	})
}

func hash(text string) int {
	n := 0
	for _, c := range text {
		n = n*31 + int(c)
	}
	return n & 0xffff
}

func readAnswer(client *http.Client, request *http.Request) (text string, tokens int, err error) {
	response, err := client.Do(request)
	if err != nil {
		return "", 0, err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	if response.StatusCode != http.StatusOK {
		return "", 0, httperror.Read(response)
	}
	var completion struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.NewDecoder(response.Body).Decode(&completion); err != nil || len(completion.Choices) == 0 {
		return "", 0, errors.Join(err, errors.New("completion has no choices or is not valid JSON"))
	}
	return completion.Choices[0].Text, completion.Usage.CompletionTokens, nil
}

// sendRollout runs one sample through a node's dispatcher, as rollouts do.
func (g loadGenerator) sendRollout(ctx context.Context, trainer, id, prompt string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	started := time.Now()
	nodes := g.deployed.Nodes
	o := outcome{started: started, prompt: prompt, share: trainer}
	stream, err := nodes[hash(id)%len(nodes)].Dispatcher().Dispatch(ctx, dispatch.Call{
		Class: dispatch.ClassRollout, Deadline: started.Add(requestTimeout), Service: g.deployed.Shape.EngineService,
		Share: trainer, Team: g.deployed.Shape.Team,
		Request: engine.Request{ID: id, MaxTokens: 2 * rolloutTokens, Model: g.deployed.Shape.EngineService, Prompt: prompt, Seed: 1},
	})
	if err == nil {
		o.text, o.tokens, err = readStream(stream)
	}
	o.err, o.latency = err, time.Since(started)
	g.phase.add(o)
}

func readStream(stream dispatch.Stream) (text string, tokens int, err error) {
	defer stream.Close() //nolint:errcheck // The answer was read.
	var b strings.Builder
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), tokens, nil
		}
		if err != nil {
			return "", 0, kind.Of(err)
		}
		b.WriteString(chunk.Text)
		tokens += chunk.Tokens
	}
}
