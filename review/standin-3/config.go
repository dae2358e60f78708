package main

// plainConfig is a config with one service of orders and look-ups, as that of the small site.
func plainConfig(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{"Name": "r-order", "Host": host, "Prefix": "/puxa403/", "Kind": "non_idempotent", "TimeoutMs": 800, "GoalMs": 150, "Priority": 2, "Service": "wuno96b", "MaxAttempts": 1, "Public": false, "Sticky": false, "Resumable": false},
			map[string]any{"Name": "r-stock", "Host": host, "Prefix": "/cufi504/", "Kind": "idempotent", "TimeoutMs": 800, "GoalMs": 150, "Priority": 2, "Service": "wuno96b", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false},
		},
		"Services": []any{
			map[string]any{"Name": "wuno96b", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0},
		},
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{key}, "Priority": 1}},
	}
}

const key = "n2ctnfzs989anu6wsjnb"

// fullConfig is plainConfig with a service of models, as that of the small site.
func fullConfig(version int) map[string]any {
	c := plainConfig(version)
	c["Routes"] = append(c["Routes"].([]any), map[string]any{"Name": "r-sheet", "Host": host, "Prefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 8000, "GoalMs": 300, "GapAimMs": 300, "Priority": 1, "Service": "huvo11a", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true})
	c["Services"] = append(c["Services"].([]any), map[string]any{
		"Name": "huvo11a", "HealthPath": "/healthz", "MaxConns": 334, "Protocol": "h1", "Tls": false, "ColdS": 3.0, "ColdPerS": 28.0,
		"Engine": map[string]any{
			"Slots": 26, "KvCapacity": 1590000, "Stride": 7, "step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0, "pairs_per_m": 0.368,
			"chunk": 2048, "report_lag_ms": 200.0, "LoadsPerS": 4.5, "loads_at_once": 6, "usual": map[string]any{"prompt": 1115, "answer": 178}, "Keeps": 1, "far_x": 2.5, "FormMs": 300.0,
			"Models": []any{
				map[string]any{"Name": "m0", "size": 4, "Share": 0.57, "pace": 1.0, "LoadS": 16.0, "WarmS": 1.6},
				map[string]any{"Name": "m1", "size": 3, "Share": 0.43, "pace": 0.6, "LoadS": 12.0, "WarmS": 1.1},
			},
		},
	})
	return c
}
