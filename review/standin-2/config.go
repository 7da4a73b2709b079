package main

const hostName = "ficu95.example"

// route is a route of the operator's configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeoutMs": 10000, "latencySloMs": 500, "priority": 1,
		"service": service, "maxAttempts": 3,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// sendConfig writes the configuration as the operator does.
func (w *world) sendConfig(version int, routes []map[string]any, models ...string) {
	var named []any
	for _, m := range models {
		named = append(named, map[string]any{"name": m})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{
				"name": "huvo11a", "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 16, "kvTokens": 47645, "kvTokenBytes": 18432, "linkMbps": 2200000.0, "moves": true,
					"backups": true, "stride": 57, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": named,
				},
			},
			map[string]any{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.note("operator: configuration %d", version)
}
