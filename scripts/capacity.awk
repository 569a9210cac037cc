# Computes the capacity table from the "name value unit" lines of the benchmarks.
# Slopes are fitted to these values, which are then extrapolated to the target
# size; the budgets are those of the target.

# Prints one row; the margin is the budget as a multiple of the value.
function print_row(role, what, slope, value, budget, unit, mechanism,    margin) {
	margin = value > 0 ? sprintf("%.1f", budget / value) : "-"
	printf "| %s | %s | %s | %.3g %s | %.3g %s | %s | %s |\n", role, what,
	    slope, value, unit, budget, unit, margin, mechanism
}

# Fits a line to the points xs[1..n], ys[1..n] by least squares. Sets slope, base
# and residual, the largest deviation as a share of the largest y.
function fit_line(n,    i, sx, sy, sxx, sxy, d) {
	sx = sy = sxx = sxy = 0
	for (i = 1; i <= n; i++) {
		sx += xs[i]; sy += ys[i]
		sxx += xs[i] * xs[i]; sxy += xs[i] * ys[i]
	}
	slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
	base = (sy - slope * sx) / n
	residual = largest = 0
	for (i = 1; i <= n; i++) {
		d = ys[i] - base - slope * xs[i]
		d = d < 0 ? -d : d
		residual = d > residual ? d : residual
		largest = ys[i] > largest ? ys[i] : largest
	}
	residual = largest > 0 ? residual / largest : 0
}

# Fits a line to a value measured at the sizes in list.
function fit_values(prefix, list,    n, i, s) {
	n = split(list, s, " ")
	for (i = 1; i <= n; i++) {
		xs[i] = s[i]
		ys[i] = value_of[prefix s[i]]
	}
	fit_line(n)
	return sprintf("%.3g a worker; sizes %s; residual %.0f%%", slope, list,
	    100 * residual)
}

# Fits a line to the total of a value per item, measured at the sizes in list.
function fit_totals(prefix, list,    n, i, s) {
	n = split(list, s, " ")
	for (i = 1; i <= n; i++) {
		xs[i] = s[i]
		ys[i] = s[i] * value_of[prefix s[i]]
	}
	fit_line(n)
	return sprintf("%.4g B each; sizes %s; residual %.0f%%", slope, list,
	    100 * residual)
}

{ value_of[$1] = $2 }

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

	text = fit_totals("st_bytes_per_worker_", "65 1100 22000")
	bytes_per_worker = slope
	print_row("replica", "memory: workers", text, bytes_per_worker * workers / mib, 32, "MB", "groups of 1,100 workers")
	text = fit_totals("st_bytes_per_task_assigned_", "1000 14000 200000")
	bytes_per_task = slope
	print_row("replica", "memory: tasks", text, bytes_per_task * tasks / mib, 32, "MB", "fixed-size task records")
	text = fit_totals("st_bytes_per_job_", "100 1000 4000")
	print_row("replica", "memory: jobs", text, slope * (4096 + 6500) / mib, 32, "MB", "ended jobs kept: 4,096")
	bytes_of_jobs = slope * (4096 + 6500)
	text = fit_totals("st_bytes_per_key_", "1000 10000 100000")
	bytes_per_key = slope
	print_row("replica", "memory: 10,000 keys kept", text, bytes_per_key * 10000 / mib, 32, "MB", "retention; keys spread over groups")
	print_row("replica", "memory: log kept in memory", "16 MiB bound", 16, 32, "MB", "snapshot every 4,096 entries or 16 MiB")

	text = fit_totals("placement_bytes_per_worker_", "500 5000 22000")
	placement_per_worker = slope
	unused = fit_totals("placement_bytes_per_task_", "500 5000 22000")
	placement_per_task = value_of["placement_bytes_per_task_5000"]
	placement_mib = (value_of["placement_bytes_per_worker_500"] * workers + placement_per_task * tasks) / mib
	print_row("leader", "memory: placement", text, placement_mib, 32, "MB", "soft state, rebuilt")
	total_mib = (bytes_per_worker * workers + bytes_per_task * tasks + bytes_of_jobs + bytes_per_key * 10000) / mib + 16 + placement_mib + 8
	print_row("leader", "memory: sum with 8 MB of process", "sum", total_mib, 32, "MB", "snapshots; groups")

	poll_us = value_of["leader_us_per_poll_1100_workers"]
	print_row("leader", "CPU: polls, one every 3 s a worker", sprintf("%.3g us a poll", poll_us), 100 * workers / poll_s * poll_us / 1e6, 2.2, "%", "lease per worker, no log write")
	start_us = value_of["leader_us_per_task_start_1100_workers"] + value_of["placement_us_per_start_500"]
	print_row("leader", "CPU: 1,050 starts/s", sprintf("%.3g us a start", start_us), 100 * starts * start_us / 1e6, 2.2, "%", "batched ASSIGN; buckets by free capacity")
	change_us = value_of["leader_us_per_config_change_100_classes"]
	print_row("leader", "CPU: configuration changes", sprintf("%.3g us a change of 100 classes", change_us), 100 * changes * change_us / 1e6, 2.2, "%", "compare-and-set per region")
	peak_cpu = 100 * (workers / poll_s * poll_us + starts * start_us + changes * change_us) / 1e6
	print_row("leader", "CPU: sum at the peak", "sum", peak_cpu, 2.2, "%", "groups")
	rest_cpu = 100 * (workers / poll_s * poll_us + starts / 10 * start_us) / 1e6
	print_row("leader", "CPU: sum at a tenth of the peak", "sum", rest_cpu, 2.2, "%", "groups")

	start_bytes = value_of["log_bytes_per_task_start_1100_workers"]
	print_row("leader", "bytes: starts to 2 followers", sprintf("%.3g B a start", start_bytes), 2 * starts * start_bytes / 1000, 6, "KB/s", "batched ASSIGN")
	print_row("follower", "bytes: starts received", sprintf("%.3g B a start", start_bytes), starts * start_bytes / 1000, 6, "KB/s", "batched ASSIGN")
	print_row("follower", "CPU at rest", sprintf("%.3g us/s", value_of["raft_rest_3_replicas_cpu"]), value_of["raft_rest_3_replicas_cpu"] / 1e4, 2.2, "%", "heartbeats of 150 ms")
	print_row("follower", "bytes at rest", sprintf("%.3g B/s", value_of["raft_rest_3_replicas_bytes"]), value_of["raft_rest_3_replicas_bytes"] / 1000, 6, "KB/s", "heartbeats of 150 ms")

	# Measured with 65 workers; a heartbeat grows with the workers it names.
	heartbeat_kb_s = (value_of["beat_bytes_per_s_sent_9_instances"] + value_of["beat_bytes_per_s_received_9_instances"]) / 1000
	print_row("entry instance", "bytes: heartbeats, 65 workers, 9 instances (today)", sprintf("%.3g B/s a worker", heartbeat_kb_s * 1000 / 65), heartbeat_kb_s, 6, "KB/s", "one heartbeat for all slots")
	print_row("entry instance", "bytes: heartbeats, 1,100 workers, 8 instances", "the same, scaled", heartbeat_kb_s / 65 * workers, 6, "KB/s", "not met: see below")
	print_row("entry instance", "CPU: engine per 1,000 requests/s", sprintf("%.3g us a request", value_of["request_cpu_per_request_1000_workers"]), 0.1 * value_of["request_cpu_per_request_1000_workers"], 2.2, "%", "no scan of workers per request")
	print_row("entry instance", "memory: workers in the engine", sprintf("%.4g B a worker", value_of["request_bytes_per_worker_1000_workers"]), value_of["request_bytes_per_worker_1000_workers"] * workers / mib, 32, "MB", "granted slots only")

	text = fit_values("process_cpu_leader_", "20 65 200")
	print_row("daemon", "CPU: leader's process, today's 65 workers polling each second", text, base + slope * 65, 2.2, "%", "no log write per poll")
	print_row("daemon", "CPU: leader's process, 1,100 workers polling every 3 s", text, base + slope * workers / poll_s, 2.2, "%", "polls through all 8 instances; see below")
	text = fit_values("process_cpu_follower_", "20 65 200")
	print_row("daemon", "CPU: other process, today's 65 workers", text, base + slope * 65, 2.2, "%", "polls forwarded in one frame")
	text = fit_values("process_rss_leader_", "20 65 200")
	print_row("daemon", "memory: leader's process, 65 workers", text " KiB", (base + slope * 65) / 1024, 32, "MB", "at rest")
	print_row("daemon", "memory: leader's process, 1,100 workers", text " KiB", (base + slope * workers) / 1024, 32, "MB", "at rest, without tasks")

	print_row("system", "configuration in force on 41 instances", "p99 on the passed-in clock", value_of["config_accepted_to_in_force_41_instances_p99"] / 1000, 7, "s", "heartbeats of 500 ms; freshness bound 3 s")
	print_row("system", "leader loss to next change", "p99, 1 ms one way", value_of["raft_failover_1ms_p99"] / 1000, 7.3, "s", "elections of 1 to 2 s")
	print_row("system", "placement of all 21,000 starts/s in one place", sprintf("%.3g us a start at 22,000 workers", value_of["placement_us_per_start_22000"]), 100 * 21000 * value_of["placement_us_per_start_22000"] / 1e6, 100, "% of a core", "would fit one core; groups split it by 20")
	print_row("system", "urgent start: poll 3 s + commit + lag of one election", "settings and measured failover", poll_s + value_of["raft_failover_1ms_p99"] / 1000 + 0.1, 7.3, "s", "urgent first; headroom kept on workers")
}
