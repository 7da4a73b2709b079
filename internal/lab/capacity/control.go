package capacity

import (
	"context"
	"fmt"
)

// The names of the measured costs of idle nodes.
const (
	costCore     = "processor, % of a core, all nodes"
	costHostList = "host list readings a second, all nodes"
	costMemory   = "memory, MB, all nodes"
	costPeer     = "TCP bytes a second between nodes, all nodes"
	costStore    = "key-value calls a second, all nodes"
)

// measureByNodes measures idle deployments of several numbers of nodes. Processor
// time and memory include the stand-ins, and the budgets are those of all nodes
// together.
func (c Capacity) measureByNodes(ctx context.Context) ([]Slope, error) {
	values := series{}
	for _, nodes := range []int{4, 8, 16, 32} {
		shape := smallShape()
		shape.Nodes = nodes
		before, after, err := c.measureWindow(ctx, shape, c.waitIdle)
		if err != nil {
			return nil, err
		}
		seconds := after.at.Sub(before.at).Seconds()
		values.add(costCore, nodes, percent*(after.cpu-before.cpu).Seconds()/seconds)
		values.add(costHostList, nodes, float64(after.hostReads-before.hostReads)/seconds)
		values.add(costMemory, nodes, float64(after.memory)/megabyte)
		// Each byte counts twice because both ends of a connection are nodes.
		values.add(costPeer, nodes, 2*float64(after.peerBytes-before.peerBytes)/seconds)
		values.add(costStore, nodes, float64(after.storeCalls-before.storeCalls)/seconds)
		fmt.Fprintf(c.Progress, "measured nodes=%d\n", nodes)
	}
	budgets := map[string]float64{
		costCore: designNodes * budgetCorePercent, costMemory: designNodes * budgetMemoryMB, costPeer: designNodes * budgetPeerBytesPerSecond, costStore: budgetStoreCallsPerSecond,
	}
	var slopes []Slope
	for _, cost := range []string{costCore, costMemory, costPeer, costStore, costHostList} {
		slopes = append(slopes, Slope{
			Budget: budgets[cost], Cost: cost, Design: designNodes, Points: values[cost], Role: "entry host, idle", Size: "nodes",
		})
	}
	return slopes, nil
}

// measureByServers measures idle deployments of several numbers of engines.
func (c Capacity) measureByServers(ctx context.Context) ([]Slope, error) {
	values := series{}
	const nodes = 6
	for _, engines := range []int{8, 16, 32, 64} {
		shape := smallShape()
		shape.Nodes, shape.Engines = nodes, engines
		before, after, err := c.measureWindow(ctx, shape, c.waitIdle)
		if err != nil {
			return nil, err
		}
		seconds := after.at.Sub(before.at).Seconds()
		values.add(costCore, engines, percent*(after.cpu-before.cpu).Seconds()/seconds)
		values.add(costPeer, engines, 2*float64(after.peerBytes-before.peerBytes)/seconds)
		fmt.Fprintf(c.Progress, "measured servers=%d\n", engines)
	}
	return []Slope{
		{Budget: designNodes * budgetCorePercent, Cost: costCore, Design: designServers, Points: values[costCore], Role: "observer of servers", Size: "servers"},
		{Budget: designNodes * budgetPeerBytesPerSecond, Cost: costPeer, Design: designServers, Points: values[costPeer], Role: "observer of servers", Size: "servers"},
	}, nil
}
