package failover

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegway/nutmegway/internal/external/etcd"
	"github.com/nutmegway/nutmegway/internal/lab/deployment"
	"github.com/nutmegway/nutmegway/internal/lab/report"
	standinengine "github.com/nutmegway/nutmegway/internal/standin/engine"
)

// productPause is the time for which the holder of the weights lease is paused: twice the
// time to live of its leases.
const productPause = 12 * time.Second

// productRun kills or pauses the process that holds the weights lease in a running
// deployment.
type productRun struct {
	deployed *deployment.Deployment
	report   *report.Report
	store    *etcd.Store
	version  int64
}

// runProduct first kills and later pauses the process that holds the weights lease. Each
// time it publishes a version through another node and waits until all engines serve it.
// It returns the longer of the two times from the fault until then, and the number of
// times that an engine loaded a lower version than before.
func (m Measure) runProduct(ctx context.Context, result *report.Report) (longest time.Duration, downgrades int, err error) {
	shape := deployment.Brazos()
	shape.Engines, shape.Plains = 4, 1
	p := &productRun{deployed: &deployment.Deployment{Binary: m.Binary, Dir: m.Dir, Shape: shape}, report: result, version: 1}
	err = p.deployed.Run(ctx, func(ctx context.Context) error {
		p.store = &etcd.Store{Endpoints: []string{p.deployed.Store.Address()}}
		defer func() { _ = p.store.Close() }()
		if _, err := p.publish(ctx); err != nil {
			return err
		}
		for _, fault := range []string{"kill", "pause"} {
			took, err := p.round(ctx, fault)
			if err != nil {
				return err
			}
			longest = max(longest, took)
			result.AddRow(report.Value{Key: "fault", Value: fault}, report.Value{Key: "takeover-seconds", Value: took.Seconds()})
		}
		return nil
	})
	for _, engine := range p.deployed.Engines {
		downgrades += countDowngrades(engine.GroundTruth())
	}
	return longest, downgrades, err
}

// round kills or pauses the holder of the weights lease. It returns the time until all
// engines serve a version that was published afterwards, and restarts or resumes the
// process.
func (p *productRun) round(ctx context.Context, fault string) (time.Duration, error) {
	holder, err := p.leaseHolder(ctx)
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	if fault == "kill" {
		holder.Kill()
	} else if err := holder.Pause(); err != nil {
		return 0, err
	}
	if _, err := p.publishAt(ctx, p.otherNode(holder)); err != nil {
		return 0, err
	}
	took := time.Since(begin)
	if fault == "kill" {
		return took, holder.Start(ctx)
	}
	time.Sleep(time.Until(begin.Add(productPause)))
	if err := holder.Resume(); err != nil {
		return 0, err
	}
	// Orders that the resumed process sends as a former holder arrive within
	// orderLimit.
	time.Sleep(orderLimit)
	return took, nil
}

// leaseHolder returns the node that holds the weights lease of the model service.
func (p *productRun) leaseHolder(ctx context.Context) (*deployment.Node, error) {
	entry, err := p.store.Get(ctx, fmt.Sprintf("nutmegway/leases/weights/%s/0", p.deployed.Shape.EngineService))
	if err != nil {
		return nil, err
	}
	var holder struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(entry.Value, &holder); err != nil {
		return nil, err
	}
	for _, node := range p.deployed.Nodes {
		if node.ID == holder.Node {
			return node, nil
		}
	}
	return nil, fmt.Errorf("holder of the weights lease %q is not a node of the deployment", holder.Node)
}

func (p *productRun) otherNode(than *deployment.Node) *deployment.Node {
	if p.deployed.Nodes[0] != than {
		return p.deployed.Nodes[0]
	}
	return p.deployed.Nodes[1]
}

func (p *productRun) publish(ctx context.Context) (time.Duration, error) {
	return p.publishAt(ctx, p.deployed.Nodes[0])
}

// publishAt publishes the next version through node, retrying after a refusal, and
// waits until all engines serve it. It returns the time that this takes.
func (p *productRun) publishAt(ctx context.Context, node *deployment.Node) (time.Duration, error) {
	p.version++
	begin := time.Now()
	target := fmt.Sprintf("http://%s/v1/services/%s/trainers/failover/versions", node.CallerAddress, p.deployed.Shape.EngineService)
	for accepted := false; !accepted; {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(fmt.Sprintf(`{"version":%d}`, p.version)))
		if err != nil {
			return 0, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		_ = response.Body.Close()
		accepted = response.StatusCode == http.StatusAccepted
		if !accepted {
			time.Sleep(pollInterval)
		}
	}
	for !p.allServe() {
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		time.Sleep(pollInterval)
	}
	return time.Since(begin), nil
}

func (p *productRun) allServe() bool {
	for _, engine := range p.deployed.Engines {
		if engine.Status().Version < p.version {
			return false
		}
	}
	return true
}

// countDowngrades counts the versions that an engine loaded after a higher version.
func countDowngrades(truth standinengine.GroundTruth) int {
	var count int
	var highest int64
	for _, swap := range truth.Swaps {
		if swap.Version < highest {
			count++
		}
		highest = max(highest, swap.Version)
	}
	return count
}
