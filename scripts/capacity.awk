# Works out the capacity table from "name value unit" lines of the benches.
# Budgets come from the stated target; slopes from the figures read.

function put(role, what, slope, figure, budget, unit, carrier,    margin) {
	margin = figure > 0 ? sprintf("%.1f", budget / figure) : "-"
	printf "| %s | %s | %s | %.3g %s | %.3g %s | %s | %s |\n", role, what,
	    slope, figure, unit, budget, unit, margin, carrier
}

# Least squares through the points xs[1..n], ys[1..n].
function fit(n,    i, sx, sy, sxx, sxy, d) {
	sx = sy = sxx = sxy = 0
	for (i = 1; i <= n; i++) {
		sx += xs[i]; sy += ys[i]
		sxx += xs[i] * xs[i]; sxy += xs[i] * ys[i]
	}
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
	base = (sy - slope * sx) / n
	worst = largest = 0
	for (i = 1; i <= n; i++) {
		d = ys[i] - base - slope * xs[i]
		d = d < 0 ? -d : d
		worst = d > worst ? d : worst
		largest = ys[i] > largest ? ys[i] : largest
	}
	worst = largest > 0 ? worst / largest : 0
}

# Fits a figure measured at the sizes in list.
function fit_at(prefix, list,    n, i, s) {
	n = split(list, s, " ")
	for (i = 1; i <= n; i++) {
		xs[i] = s[i]
		ys[i] = v[prefix s[i]]
	}
	fit(n)
	return sprintf("%.3g a worker; sizes %s; residual %.0f%%", slope, list,
	    100 * worst)
}

# Fits the total of a per-item figure measured at the sizes in list.
function fit_total(prefix, list,    n, i, s) {
	n = split(list, s, " ")
	for (i = 1; i <= n; i++) {
		xs[i] = s[i]
		ys[i] = s[i] * v[prefix s[i]]
	}
	fit(n)
	return sprintf("%.4g B each; sizes %s; residual %.0f%%", slope, list,
	    100 * worst)
}

{ v[$1] = $2 }

END {
	groups = 20; instances = 41
	workers = 22000 / groups
	tasks = 275000 / groups
	starts = 21000 / groups
	changes = 9600 / 5 / 86400
	poll_s = 3
	mib = 1024 * 1024

	print "| role | what | slope (measured) | at the target | budget | margin | mechanism |"
	print "| --- | --- | --- | --- | --- | --- | --- |"

	text = fit_total("st_bytes_per_worker_", "65 1100 22000")
	worker = slope
	put("replica", "memory: workers", text, worker * workers / mib, 32, "MB", "groups of 1,100 workers")
	text = fit_total("st_bytes_per_task_assigned_", "1000 14000 200000")
	task = slope
	put("replica", "memory: tasks", text, task * tasks / mib, 32, "MB", "fixed-size task records")
	text = fit_total("st_bytes_per_job_", "100 1000 4000")
	put("replica", "memory: jobs", text, slope * (4096 + 6500) / mib, 32, "MB", "ended jobs kept: 4,096")
	jobs = slope * (4096 + 6500)
	text = fit_total("st_bytes_per_key_", "1000 10000 100000")
	key = slope
	put("replica", "memory: 10,000 keys kept", text, key * 10000 / mib, 32, "MB", "retention; keys spread over groups")
	put("replica", "memory: log kept in memory", "16 MiB bound", 16, 32, "MB", "snapshot every 4,096 entries or 16 MiB")

	text = fit_total("placement_bytes_per_worker_", "500 5000 22000")
	sw = slope
	text2 = fit_total("placement_bytes_per_task_", "500 5000 22000")
	stask = v["placement_bytes_per_task_5000"]
	sched = (v["placement_bytes_per_worker_500"] * workers + stask * tasks) / mib
	put("leader", "memory: placement", text, sched, 32, "MB", "soft state, rebuilt")
	total = (worker * workers + task * tasks + jobs + key * 10000) / mib + 16 + sched + 8
	put("leader", "memory: sum with 8 MB of process", "sum", total, 32, "MB", "snapshots; groups")

	p = v["leader_us_per_poll_1100_workers"]
	put("leader", "CPU: polls, one every 3 s a worker", sprintf("%.3g us a poll", p), 100 * workers / poll_s * p / 1e6, 2.2, "%", "lease per worker, no log write")
	s = v["leader_us_per_task_start_1100_workers"] + v["placement_us_per_start_500"]
	put("leader", "CPU: 1,050 starts/s", sprintf("%.3g us a start", s), 100 * starts * s / 1e6, 2.2, "%", "batched ASSIGN; buckets by free capacity")
	c = v["leader_us_per_config_change_100_classes"]
	put("leader", "CPU: configuration changes", sprintf("%.3g us a change of 100 classes", c), 100 * changes * c / 1e6, 2.2, "%", "compare-and-set per region")
	cpu = 100 * (workers / poll_s * p + starts * s + changes * c) / 1e6
	put("leader", "CPU: sum at the peak", "sum", cpu, 2.2, "%", "groups")
	rest = 100 * (workers / poll_s * p + starts / 10 * s) / 1e6
	put("leader", "CPU: sum at a tenth of the peak", "sum", rest, 2.2, "%", "groups")

	b = v["log_bytes_per_task_start_1100_workers"]
	put("leader", "bytes: starts to 2 followers", sprintf("%.3g B a start", b), 2 * starts * b / 1000, 6, "KB/s", "batched ASSIGN")
	put("follower", "bytes: starts received", sprintf("%.3g B a start", b), starts * b / 1000, 6, "KB/s", "batched ASSIGN")
	put("follower", "CPU at rest", sprintf("%.3g us/s", v["raft_rest_3_replicas_cpu"]), v["raft_rest_3_replicas_cpu"] / 1e4, 2.2, "%", "heartbeats of 150 ms")
	put("follower", "bytes at rest", sprintf("%.3g B/s", v["raft_rest_3_replicas_bytes"]), v["raft_rest_3_replicas_bytes"] / 1000, 6, "KB/s", "heartbeats of 150 ms")

	# 65 workers are measured; a beat grows with the workers it names.
	h = (v["beat_bytes_per_s_sent_9_instances"] + v["beat_bytes_per_s_received_9_instances"]) / 1000
	put("entry instance", "bytes: heartbeats, 65 workers, 9 instances (today)", sprintf("%.3g B/s a worker", h * 1000 / 65), h, 6, "KB/s", "one heartbeat for all slots")
	put("entry instance", "bytes: heartbeats, 1,100 workers, 8 instances", "the same, scaled", h / 65 * workers, 6, "KB/s", "not met: see below")
	put("entry instance", "CPU: engine per 1,000 requests/s", sprintf("%.3g us a request", v["request_cpu_per_request_1000_workers"]), 0.1 * v["request_cpu_per_request_1000_workers"], 2.2, "%", "no scan of workers per request")
	put("entry instance", "memory: workers in the engine", sprintf("%.4g B a worker", v["request_bytes_per_worker_1000_workers"]), v["request_bytes_per_worker_1000_workers"] * workers / mib, 32, "MB", "granted slots only")

	text = fit_at("process_cpu_leader_", "20 65 200")
	put("daemon", "CPU: leader's process, today's 65 workers polling each second", text, base + slope * 65, 2.2, "%", "no log write per poll")
	put("daemon", "CPU: leader's process, 1,100 workers polling every 3 s", text, base + slope * workers / poll_s, 2.2, "%", "polls through all 8 instances; see below")
	text = fit_at("process_cpu_follower_", "20 65 200")
	put("daemon", "CPU: other process, today's 65 workers", text, base + slope * 65, 2.2, "%", "polls forwarded in one frame")
	text = fit_at("process_rss_leader_", "20 65 200")
	put("daemon", "memory: leader's process, 65 workers", text " KiB", (base + slope * 65) / 1024, 32, "MB", "at rest")
	put("daemon", "memory: leader's process, 1,100 workers", text " KiB", (base + slope * workers) / 1024, 32, "MB", "at rest, without tasks")

	put("system", "configuration in force on 41 instances", "p99 on the passed-in clock", v["config_accepted_to_in_force_41_instances_p99"] / 1000, 7, "s", "heartbeats of 500 ms; freshness bound 3 s")
	put("system", "leader loss to next change", "p99, 1 ms one way", v["raft_failover_1ms_p99"] / 1000, 7.3, "s", "elections of 1 to 2 s")
	put("system", "placement of all 21,000 starts/s in one place", sprintf("%.3g us a start at 22,000 workers", v["placement_us_per_start_22000"]), 100 * 21000 * v["placement_us_per_start_22000"] / 1e6, 100, "% of a core", "would fit one core; groups split it by 20")
	put("system", "urgent start: poll 3 s + commit + lag of one election", "settings and measured failover", poll_s + v["raft_failover_1ms_p99"] / 1000 + 0.1, 7.3, "s", "urgent first; headroom kept on workers")
}
