/*
 * Simulates the replicas of one group in one process, with a simulated
 * network, disk and clock. The seed determines the whole run. Every action is
 * checked for these invariants: at most one leader per term; one history of
 * committed entries, which every replica applies in order; states equal to
 * those of a sequential reference; read barriers that see all entries
 * committed before them; leaders whose log holds all committed entries, and
 * which are told that they were replaced before they get entries of the next
 * one; an applied index that never falls while a process runs.
 */
#ifndef CONTROL_TESTS_RAFT_SIM_H
#define CONTROL_TESTS_RAFT_SIM_H

#include <unistd.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/rng.h"
#include "control/raft.h"
#include "control/wal.h"

struct SimEntry {
	uint64_t term;
	int kind;
	std::string data;
	bool operator==(const SimEntry &o) const
	{
		return term == o.term && kind == o.kind && data == o.data;
	}
};

struct SimMember {
	uint64_t replica;
	uint32_t instance;
	bool voter;
};

struct SimSnapshot;
struct SimWrite;

/* The model of a data directory. */
struct SimDisk {
	uint64_t replica = 0, generation = 0;
	uint64_t term = 0, vote = 0;
	uint64_t snap_index = 0, snap_term = 0, state = 0;
	std::vector<SimMember> members;
	std::vector<SimEntry> log; /* from snap_index + 1 */

	void truncate(uint64_t from);
	void write_entry(uint64_t index, const SimEntry &);
	bool save_snapshot(const SimSnapshot &);
	bool write(const SimWrite &);
};

/* A snapshot on its way to the disk. */
struct SimSnapshot {
	uint64_t index, term, state;
	std::vector<SimMember> members;
	bool received;
};

/* A PERSIST action that is not synced yet, or a snapshot. */
struct SimWrite {
	uint64_t seq, term, vote, truncate_from, first;
	std::vector<SimEntry> entries;
	std::shared_ptr<SimSnapshot> snapshot;
};

struct SimNode {
	struct raft *raft = nullptr;
	struct raft_acts acts = {};
	SimDisk disk;
	struct wal *wal = nullptr; /* real files, if wal_dir is set */
	std::vector<SimWrite> writes;
	/* Raised by start and crash; events of an older epoch are ignored. */
	uint64_t event_epoch = 0;
	double clock_rate = 1.0; /* relative to real time */
	uint64_t incarnation = 0;
	uint64_t applied = 0, state = 0, tick_id = 0;
	uint64_t leads_term = 0;  /* as of the last ROLE action; 0: none */
	uint64_t persist_seq = 0; /* of the last PERSIST action */
	/* Snapshot being written, and the newest one; 0: none. */
	uint64_t saving = 0, snapshot_index = 0;
	bool loading = false;	   /* the one being written was received */
	int64_t stalled_until = 0; /* no events are handled before */
	std::map<uint64_t, std::pair<uint64_t, uint64_t>> generations_seen;
	std::map<uint64_t, uint64_t> barriers;
	std::vector<SimMember> members() const;
	SimDisk log_in_memory() const;
	bool up() const
	{
		return raft != nullptr;
	}
};

struct SimConf {
	uint64_t seed = 1;
	double drop = 0, duplicate = 0; /* probabilities of a message */
	int64_t delay_ns = 1000000, jitter_ns = 0;
	int64_t sync_ns = 200000;
	uint64_t snapshot_every = 50;
	size_t voters_needed = 0; /* as in raft_initial_state */
	std::string wal_dir;
};

class RaftSim {
      public:
	explicit RaftSim(const SimConf &);
	~RaftSim();
	SimConf conf;
	struct rng rng;
	int64_t now = 0;
	std::vector<std::unique_ptr<SimNode>> nodes; /* by instance - 1 */
	std::vector<SimEntry> history;	    /* committed, from index 1 */
	std::vector<uint64_t> commit_terms; /* in which each was committed */
	std::vector<uint64_t> reference_states;		 /* state after index */
	std::map<uint64_t, uint64_t> leaders;		 /* term -> replica */
	std::set<std::pair<uint32_t, uint32_t>> blocked; /* from, to */
	std::vector<std::string> violations;
	uint64_t messages = 0, bytes = 0, barriers_ok = 0;
	uint64_t snapshots_received = 0;
	bool check_generation = true;

	uint32_t add_node(const SimDisk &);
	uint32_t add_group(size_t voters);
	void start(uint32_t instance);
	/* keep: number of unsynced writes that reach the disk anyway */
	void crash(uint32_t instance, size_t keep);
	void run(int64_t ns);
	bool run_until(const std::function<bool()> &, int64_t limit_ns);
	enum status step(uint32_t instance, const struct raft_ev &);
	enum status propose(uint32_t instance, const std::string &);
	enum status add_member(uint32_t leader, uint32_t instance);
	enum status remove_member(uint32_t leader, uint64_t replica);
	enum status event(uint32_t instance, enum raft_ev_kind);
	void barrier(uint32_t instance);
	uint32_t leader() const; /* of the highest term; 0: none */
	bool all_applied() const;
	void isolate(uint32_t instance, bool in, bool out);
	uint64_t new_replica();
	SimNode &node(uint32_t instance)
	{
		return *nodes[instance - 1];
	}

      private:
	struct Event {
		int64_t at;
		uint64_t seq;
		std::function<void()> fn;
		bool operator<(const Event &o) const
		{
			return at != o.at ? at > o.at : seq > o.seq;
		}
	};
	std::priority_queue<Event> queue;
	uint64_t seq = 0, next_replica = 0, next_barrier = 0;
	void schedule(int64_t when, std::function<void()> fn);
	struct timespec local_time(const SimNode &) const;
	void schedule_tick(uint32_t instance);
	void schedule_on(
	    uint32_t instance, int64_t when, std::function<void()> fn);
	void run_actions(uint32_t instance);
	void check_lease(const SimNode &);
	void send(uint32_t from, uint32_t to, const Control__RaftMsg *);
	void deliver(uint32_t from, uint32_t to, uint64_t incarnation,
	    const std::string &);
	bool accept_hello(uint32_t from, uint32_t to);
	void persist(uint32_t instance, const struct raft_act &);
	void sync(uint32_t instance, uint64_t id);
	void enqueue(uint32_t instance, const SimWrite &);
	void queue_snapshot(uint32_t instance, const SimSnapshot &);
	void on_snapshot_saved(uint32_t instance, const SimSnapshot &);
	void write_to_disk(SimNode &, const SimWrite &);
	void save_snapshot_file(SimNode &, bool received);
	void open_and_compare_files(uint32_t instance);
	void apply_committed(uint32_t instance, const struct raft_act &);
	void load_snapshot(uint32_t instance, const struct raft_act &);
	void take_snapshot_if_due(uint32_t instance);
	void check_new_leader(uint32_t instance);
	void report_violation(const std::string &);
};

inline void
SimDisk::truncate(uint64_t from)
{
	if (from <= snap_index)
		log.clear();
	else if (from <= snap_index + log.size())
		log.resize(from - snap_index - 1);
}

inline void
SimDisk::write_entry(uint64_t index, const SimEntry &e)
{
	if (index <= snap_index)
		return;
	truncate(index);
	log.push_back(e);
}

/*
 * Saves a snapshot. Returns false if it is this replica's own and the log
 * doesn't hold the entries it was taken of.
 */
inline bool
SimDisk::save_snapshot(const SimSnapshot &s)
{
	uint64_t n = s.index - snap_index;
	bool joins = s.index > snap_index && log.size() >= n &&
	    log[n - 1].term == s.term;

	if (joins && !s.received)
		log.erase(log.begin(), log.begin() + (long)n);
	else
		log.clear();
	snap_index = s.index;
	snap_term = s.term;
	state = s.state;
	members = s.members;
	return joins || s.received;
}

/* Carries out a write. */
inline bool
SimDisk::write(const SimWrite &w)
{
	if (w.snapshot)
		return save_snapshot(*w.snapshot);
	term = w.term;
	vote = w.vote;
	if (w.truncate_from != 0)
		truncate(w.truncate_from);
	for (size_t i = 0; i < w.entries.size(); i++)
		write_entry(w.first + i, w.entries[i]);
	return true;
}

inline std::vector<SimMember>
SimNode::members() const
{
	std::vector<SimMember> v;
	const struct raft_member *m;
	size_t n = raft_members(raft, &m);

	for (size_t i = 0; i < n; i++)
		v.push_back({ m[i].replica, m[i].instance, m[i].voter });
	return v;
}

/* Returns the log as raft knows it: that on disk and what is being written. */
inline SimDisk
SimNode::log_in_memory() const
{
	SimDisk d = disk;

	for (auto &w : writes)
		d.write(w);
	return d;
}

/*
 * Applies an entry to a state, which is a hash of the order and content of all
 * entries so far.
 */
inline uint64_t
sim_apply(uint64_t state, const SimEntry &e)
{
	size_t n = e.data.size() < 64 ? e.data.size() : 64;
	uint64_t h = str_hash(str_mem(e.data.data(), n));

	return (state * 1099511628211ULL) ^ h ^ (uint64_t)e.kind;
}

/* Returns the snapshot of a state; some take several chunks. */
inline std::string
sim_snapshot_data(uint64_t state)
{
	std::string s((const char *)&state, sizeof(state));

	s.resize(state % 8 == 0 ? RAFT_SNAPSHOT_CHUNK_BYTES + 100 : 100, 's');
	return s;
}

inline RaftSim::RaftSim(const SimConf &c) : conf(c)
{
	rng_init(&rng, c.seed);
	reference_states.push_back(0);
}

inline RaftSim::~RaftSim()
{
	for (auto &n : nodes) {
		talloc_free(n->raft);
		talloc_free(n->wal);
		talloc_free(n->acts.v);
	}
}

inline void
RaftSim::report_violation(const std::string &what)
{
	violations.push_back(
	    what + " at " + std::to_string(now / 1000000) + " ms");
}

inline void
RaftSim::schedule(int64_t when, std::function<void()> fn)
{
	queue.push({ when, seq++, std::move(fn) });
}

/*
 * Does the check at the start of a connection. Returns false if the generation
 * is lower than one seen before, or the same one with another incarnation: the
 * replica then runs on a copy of its directory.
 */
inline bool
RaftSim::accept_hello(uint32_t from, uint32_t to)
{
	SimNode &s = node(from), &n = node(to);
	auto &seen = n.generations_seen[s.disk.replica];

	if (!check_generation)
		return true;
	if (s.disk.generation < seen.first ||
	    (s.disk.generation == seen.first && s.incarnation != seen.second))
		return false;
	seen = { s.disk.generation, s.incarnation };
	return true;
}

/* Schedules fn for an instance, for after its stall if it is stalled then. */
inline void
RaftSim::schedule_on(uint32_t instance, int64_t when, std::function<void()> fn)
{
	schedule(when, [this, instance, fn] {
		int64_t until = node(instance).stalled_until;
		if (now < until)
			schedule_on(instance, until, fn);
		else
			fn();
	});
}

inline struct timespec
RaftSim::local_time(const SimNode &n) const
{
	/* Only differences between two starts matter. */
	return clk_from_ns(
	    (int64_t)((double)now * n.clock_rate) + CLK_NS_PER_S);
}

inline uint64_t
RaftSim::new_replica()
{
	return ++next_replica * 1000;
}

inline uint32_t
RaftSim::add_node(const SimDisk &d)
{
	nodes.push_back(std::make_unique<SimNode>());
	nodes.back()->disk = d;
	return (uint32_t)nodes.size();
}

inline uint32_t
RaftSim::add_group(size_t voters)
{
	std::vector<SimMember> m;
	for (size_t i = 0; i < voters; i++)
		m.push_back({ new_replica(), (uint32_t)i + 1, true });
	for (auto &x : m) {
		SimDisk d;
		d.replica = x.replica;
		d.members = m;
		start(add_node(d));
	}
	return (uint32_t)voters;
}

inline void
RaftSim::start(uint32_t instance)
{
	SimNode &n = node(instance);
	std::vector<struct raft_member> members;
	std::vector<struct raft_entry> log;
	struct raft_initial_state c = {};

	n.event_epoch++;
	n.disk.generation++;
	n.incarnation = rng_next(&rng);
	n.writes.clear();
	n.barriers.clear();
	for (auto &m : n.disk.members)
		members.push_back(
		    { m.replica, m.instance, m.voter, str_from("zone") });
	for (size_t i = 0; i < n.disk.log.size(); i++) {
		const SimEntry &e = n.disk.log[i];
		log.push_back({ n.disk.snap_index + 1 + i, e.term,
		    (Control__EntryKind)e.kind,
		    str_mem(e.data.data(), e.data.size()) });
	}
	std::string state = sim_snapshot_data(n.disk.state);
	c.replica = n.disk.replica;
	c.seed = rng_next(&rng);
	c.term = n.disk.term;
	c.voted_for = n.disk.vote;
	c.snap_index = n.disk.snap_index;
	c.snap_term = n.disk.snap_term;
	c.snap_data = str_mem(state.data(), state.size());
	c.members = members.data();
	c.nmembers = members.size();
	c.entries = log.data();
	c.nentries = log.size();
	c.voters_needed = conf.voters_needed;
	n.applied = n.disk.snap_index;
	n.state = n.disk.state;
	n.leads_term = n.persist_seq = n.saving = 0;
	n.snapshot_index = n.disk.snap_index;
	n.loading = false;
	n.raft = raft_new(NULL, &c, local_time(n));
	open_and_compare_files(instance);
	schedule_tick(instance);
	for (uint32_t i = 1; i <= nodes.size(); i++) {
		if (i == instance || !node(i).up() ||
		    blocked.count({ i, instance }) ||
		    blocked.count({ instance, i }))
			continue;
		accept_hello(instance, i);
		accept_hello(i, instance);
	}
}

inline void
RaftSim::crash(uint32_t instance, size_t keep)
{
	SimNode &n = node(instance);

	for (size_t i = 0; i < n.writes.size() && i < keep; i++)
		write_to_disk(n, n.writes[i]);
	n.writes.clear();
	n.event_epoch++;
	talloc_free(n.raft);
	talloc_free(n.wal);
	n.raft = nullptr;
	n.wal = nullptr;
}

inline void
RaftSim::run(int64_t ns)
{
	int64_t end = now + ns;

	while (!queue.empty() && queue.top().at <= end) {
		Event e = queue.top();
		queue.pop();
		now = e.at > now ? e.at : now;
		e.fn();
	}
	now = end;
}

inline bool
RaftSim::run_until(const std::function<bool()> &done, int64_t limit_ns)
{
	int64_t end = now + limit_ns;

	while (!done()) {
		if (queue.empty() || queue.top().at > end)
			return false;
		Event e = queue.top();
		queue.pop();
		now = e.at > now ? e.at : now;
		e.fn();
	}
	return true;
}

inline void
RaftSim::schedule_tick(uint32_t instance)
{
	SimNode &n = node(instance);
	int64_t left = clk_diff_ns(raft_next_tick(n.raft), local_time(n));
	uint64_t event_epoch = n.event_epoch, id = ++n.tick_id;

	left = left < 0 ? 0 : (int64_t)((double)left / n.clock_rate) + 1000;
	schedule_on(instance, now + left, [this, instance, event_epoch, id] {
		struct raft_ev ev = {};
		SimNode &m = node(instance);
		if (m.event_epoch == event_epoch && m.tick_id == id)
			step(instance, ev);
	});
}

inline enum status
RaftSim::step(uint32_t instance, const struct raft_ev &ev)
{
	SimNode &n = node(instance);

	if (!n.up())
		return STATUS_UNAVAILABLE;
	n.acts.n = 0;
	enum status st = raft_step(n.raft, local_time(n), &ev, &n.acts);
	run_actions(instance);
	check_lease(n);
	schedule_tick(instance);
	return st;
}

/* Checks that nobody holds the leader lease of a term once another replica
 * leads in a later one. The state of n has changed. */
inline void
RaftSim::check_lease(const SimNode &n)
{
	if (raft_role(n.raft) != RAFT_LEADER)
		return;
	for (auto &other : nodes) {
		if (!other->up() || other.get() == &n ||
		    raft_role(other->raft) != RAFT_LEADER)
			continue;
		const SimNode &earlier =
		    raft_term(n.raft) < raft_term(other->raft) ? n : *other;
		if (raft_has_leader_lease(earlier.raft, local_time(earlier)))
			report_violation("a lease of term " +
			    std::to_string(raft_term(earlier.raft)) +
			    " beside a later leader");
	}
}

inline void
RaftSim::run_actions(uint32_t instance)
{
	SimNode &n = node(instance);
	std::vector<struct raft_act> acts(n.acts.v, n.acts.v + n.acts.n);
	bool applied = false;

	for (auto &a : acts) {
		switch (a.kind) {
		case RAFT_ACT_SEND:
			send(instance, a.u.send.instance, a.u.send.msg);
			break;
		case RAFT_ACT_PERSIST:
			persist(instance, a);
			break;
		case RAFT_ACT_COMMIT:
			apply_committed(instance, a);
			applied = true;
			break;
		case RAFT_ACT_ROLE:
			n.leads_term = 0;
			if (a.u.role.role != RAFT_LEADER)
				break;
			n.leads_term = a.u.role.term;
			check_new_leader(instance);
			if (leaders.count(a.u.role.term) &&
			    leaders[a.u.role.term] != n.disk.replica)
				report_violation("two leaders in term " +
				    std::to_string(a.u.role.term));
			leaders[a.u.role.term] = n.disk.replica;
			break;
		case RAFT_ACT_LEADERSHIP_CONFIRMED:
			if (a.u.confirmed.ok) {
				barriers_ok++;
				if (n.applied < n.barriers[a.u.confirmed.id])
					report_violation("stale read barrier");
			}
			break;
		case RAFT_ACT_LOAD_SNAPSHOT:
			load_snapshot(instance, a);
			break;
		}
	}
	if (applied)
		take_snapshot_if_due(instance);
}

inline void
RaftSim::send(uint32_t from, uint32_t to, const Control__RaftMsg *m)
{
	std::string buf(control__raft_msg__get_packed_size(m), '\0');

	control__raft_msg__pack(m, (uint8_t *)buf.data());
	messages++;
	bytes += buf.size();
	if (to == 0 || to > nodes.size()) {
		report_violation("message to an unknown instance");
		return;
	}
	int copies = rng_chance(&rng, conf.duplicate) ? 2 : 1;
	for (int i = 0; i < copies; i++) {
		if (rng_chance(&rng, conf.drop))
			continue;
		int64_t delay = conf.delay_ns +
		    (int64_t)rng_below(&rng, (uint64_t)conf.jitter_ns + 1);
		uint64_t inc = node(from).incarnation;
		schedule_on(to, now + delay, [this, from, to, inc, buf] {
			deliver(from, to, inc, buf);
		});
	}
}

inline void
RaftSim::deliver(
    uint32_t from, uint32_t to, uint64_t incarnation, const std::string &buf)
{
	SimNode &n = node(to);

	if (!n.up() || blocked.count({ from, to }))
		return;
	if (node(from).incarnation == incarnation && !accept_hello(from, to))
		return;
	Control__RaftMsg *m = control__raft_msg__unpack(
	    NULL, buf.size(), (const uint8_t *)buf.data());
	struct raft_ev ev = {};
	ev.kind = RAFT_EV_MSG;
	ev.u.msg = m;
	step(to, ev);
	control__raft_msg__free_unpacked(m, NULL);
}

inline void
RaftSim::write_to_disk(SimNode &n, const SimWrite &w)
{
	if (!n.disk.write(w))
		report_violation("a snapshot is of entries not in the log");
	if (w.snapshot) {
		save_snapshot_file(n, w.snapshot->received);
		return;
	}
	if (n.wal == nullptr)
		return;
	struct raft_act a = {};
	struct err e = {};
	std::vector<struct raft_entry> v;
	for (size_t i = 0; i < w.entries.size(); i++) {
		const SimEntry &x = w.entries[i];
		v.push_back({ w.first + i, x.term, (Control__EntryKind)x.kind,
		    str_mem(x.data.data(), x.data.size()) });
	}
	a.kind = RAFT_ACT_PERSIST;
	a.u.persist.term = w.term;
	a.u.persist.voted_for = w.vote;
	a.u.persist.truncate_from = w.truncate_from;
	a.u.persist.entries = v.data();
	a.u.persist.n = v.size();
	if (wal_persist(n.wal, &a, &e) != STATUS_OK ||
	    wal_sync(n.wal, &e) != STATUS_OK)
		report_violation(e.msg);
}

/* Saves the snapshot of the simulated disk in the real files too. */
inline void
RaftSim::save_snapshot_file(SimNode &n, bool received)
{
	std::string state = sim_snapshot_data(n.disk.state);
	std::vector<struct raft_member> m;
	struct err e = {};

	if (n.wal == nullptr)
		return;
	for (auto &x : n.disk.members)
		m.push_back(
		    { x.replica, x.instance, x.voter, str_from("zone") });
	struct wal_snapshot s = { n.disk.snap_index, n.disk.snap_term, m.data(),
		m.size(), str_mem(state.data(), state.size()) };
	if (wal_snapshot_save(n.wal, &s, received, &e) != STATUS_OK)
		report_violation(e.msg);
}

/* Opens the real files of a replica and compares them with the model. */
inline void
RaftSim::open_and_compare_files(uint32_t instance)
{
	SimNode &n = node(instance);
	const SimDisk &d = n.disk;
	std::string dir = conf.wal_dir + "/" + std::to_string(n.disk.replica);
	struct wal_io io = { [](void *, int fd, const void *p, size_t len) {
				    return ::write(fd, p, len);
			    },
		[](void *, int) { return 0; }, nullptr };
	struct wal_init in = {};
	struct raft_initial_state c = {};
	struct err e = {};

	if (conf.wal_dir.empty())
		return;
	in.join = true;
	in.instance = instance;
	in.domain = str_from("zone");
	if (d.generation == 1 && wal_init_dir(dir.c_str(), &in, &e))
		report_violation(e.msg);
	n.wal = wal_open(NULL, dir.c_str(), &io, &e);
	if (n.wal == nullptr) {
		report_violation(e.msg);
		return;
	}
	wal_initial_state(n.wal, &c);
	std::string state = sim_snapshot_data(d.state);
	if (wal_generation(n.wal) != d.generation || c.term != d.term ||
	    c.voted_for != d.vote || c.snap_index != d.snap_index ||
	    c.snap_term != d.snap_term || c.nentries != d.log.size() ||
	    (c.snap_index > 0 &&
		(c.nmembers != d.members.size() ||
		    !str_eq(c.snap_data, str_mem(state.data(), state.size())))))
		report_violation("files differ from the model of the disk");
	for (size_t i = 0; i < c.nentries && i < d.log.size(); i++) {
		if (c.entries[i].term != d.log[i].term ||
		    !str_eq(c.entries[i].data,
			str_mem(d.log[i].data.data(), d.log[i].data.size())))
			report_violation("an entry in the files differs from "
					 "the model of the disk");
	}
	wal_free_loaded(n.wal);
}

/* Writes what is queued up to a sequence number and reports it to raft. */
inline void
RaftSim::sync(uint32_t instance, uint64_t id)
{
	SimNode &n = node(instance);
	std::vector<SimWrite> done;
	struct raft_ev ev = {};

	while (!n.writes.empty() && n.writes[0].seq <= id) {
		write_to_disk(n, n.writes[0]);
		done.push_back(n.writes[0]);
		n.writes.erase(n.writes.begin());
	}
	if (done.empty())
		return;
	for (auto &w : done) {
		if (w.snapshot)
			on_snapshot_saved(instance, *w.snapshot);
	}
	ev.kind = RAFT_EV_SYNCED;
	ev.u.synced = id;
	step(instance, ev);
}

/* Queues a write; it is synced together with those before it. */
inline void
RaftSim::enqueue(uint32_t instance, const SimWrite &w)
{
	uint64_t event_epoch = node(instance).event_epoch, id = w.seq;
	int64_t d = conf.sync_ns / 2 +
	    (int64_t)rng_below(&rng, (uint64_t)conf.sync_ns + 1);

	node(instance).writes.push_back(w);
	schedule_on(instance, now + d, [this, instance, event_epoch, id] {
		if (node(instance).event_epoch == event_epoch)
			sync(instance, id);
	});
}

inline void
RaftSim::persist(uint32_t instance, const struct raft_act &a)
{
	SimWrite w = { a.u.persist.seq, a.u.persist.term, a.u.persist.voted_for,
		a.u.persist.truncate_from, 0, {}, nullptr };

	for (size_t i = 0; i < a.u.persist.n; i++) {
		const struct raft_entry &e = a.u.persist.entries[i];
		if (i == 0)
			w.first = e.index;
		w.entries.push_back({ e.term, (int)e.kind,
		    std::string(e.data.p ? e.data.p : "", e.data.len) });
	}
	node(instance).persist_seq = w.seq;
	enqueue(instance, w);
}

/* Queues a snapshot behind the entries that it was taken of. */
inline void
RaftSim::queue_snapshot(uint32_t instance, const SimSnapshot &s)
{
	SimNode &n = node(instance);
	SimWrite w = { n.persist_seq, 0, 0, 0, 0, {},
		std::make_shared<SimSnapshot>(s) };

	n.saving = n.snapshot_index = s.index;
	n.loading = s.received;
	enqueue(instance, w);
}

/* Reports a saved snapshot, unless a newer one is being saved. */
inline void
RaftSim::on_snapshot_saved(uint32_t instance, const SimSnapshot &s)
{
	SimNode &n = node(instance);
	std::string state = sim_snapshot_data(s.state);
	struct raft_ev ev = {};

	if (n.saving != s.index)
		return;
	ev.kind = n.loading ? RAFT_EV_SNAPSHOT_LOADED : RAFT_EV_SNAPSHOT_TAKEN;
	n.saving = 0;
	n.loading = false;
	ev.u.snapshot.index = s.index;
	ev.u.snapshot.term = s.term;
	ev.u.snapshot.data = str_mem(state.data(), state.size());
	step(instance, ev);
}

inline void
RaftSim::apply_committed(uint32_t instance, const struct raft_act &a)
{
	SimNode &n = node(instance);

	for (size_t i = 0; i < a.u.commit.n; i++) {
		const struct raft_entry &e = a.u.commit.entries[i];
		SimEntry s = { e.term, (int)e.kind,
			std::string(e.data.p ? e.data.p : "", e.data.len) };

		if (e.index != n.applied + 1)
			report_violation("applied out of order");
		if (n.leads_term != 0 && e.term > n.leads_term)
			report_violation(
			    "a replaced leader applied as a leader");
		if (e.index == history.size() + 1) {
			history.push_back(s);
			commit_terms.push_back(raft_term(n.raft));
			reference_states.push_back(
			    sim_apply(reference_states.back(), s));
		} else if (e.index > history.size() ||
		    !(history[e.index - 1] == s)) {
			report_violation(
			    "committed entry differs between replicas");
			return;
		}
		n.applied = e.index;
		n.state = sim_apply(n.state, s);
		if (n.state != reference_states[e.index])
			report_violation("state differs from the reference");
	}
}

inline void
RaftSim::load_snapshot(uint32_t instance, const struct raft_act &a)
{
	SimNode &n = node(instance);
	auto &s = a.u.snapshot;
	SimDisk log = n.log_in_memory();
	SimSnapshot x = { s.index, s.term, 0, {}, true };

	if (n.leads_term != 0)
		report_violation("a leader loaded a snapshot");
	if (s.index <= n.applied)
		report_violation("the applied index fell");
	if (s.index > log.snap_index &&
	    s.index <= log.snap_index + log.log.size() &&
	    log.log[s.index - log.snap_index - 1].term == s.term)
		report_violation("a snapshot replaced entries that follow it");
	snapshots_received++;
	memcpy(&x.state, s.data.p, sizeof(x.state));
	if (sim_snapshot_data(x.state) != std::string(s.data.p, s.data.len))
		report_violation("received snapshot is damaged");
	for (size_t i = 0; i < s.nmembers; i++)
		x.members.push_back({ s.members[i].replica,
		    s.members[i].instance, s.members[i].voter });
	if (s.index >= reference_states.size() ||
	    x.state != reference_states[s.index])
		report_violation("snapshot differs from the reference");
	n.applied = s.index;
	n.state = x.state;
	queue_snapshot(instance, x);
}

inline void
RaftSim::take_snapshot_if_due(uint32_t instance)
{
	SimNode &n = node(instance);
	SimSnapshot x = { n.applied, 0, n.state, n.disk.members, false };

	if (n.saving != 0 || n.applied < n.snapshot_index + conf.snapshot_every)
		return;
	/* Find the member list as of the snapshot in the history. */
	for (uint64_t i = n.disk.snap_index + 1; i <= n.applied; i++) {
		const SimEntry &e = history[i - 1];
		if (e.kind != CONTROL__ENTRY_KIND__ENTRY_MEMBERS)
			continue;
		Control__Members *m = control__members__unpack(
		    NULL, e.data.size(), (const uint8_t *)e.data.data());
		x.members.clear();
		for (size_t k = 0; k < m->n_members; k++)
			x.members.push_back(
			    { m->members[k]->replica, m->members[k]->instance,
				(bool)m->members[k]->voter });
		control__members__free_unpacked(m, NULL);
	}
	x.term = history[n.applied - 1].term;
	queue_snapshot(instance, x);
}

inline enum status
RaftSim::propose(uint32_t instance, const std::string &data)
{
	struct str s = str_mem(data.data(), data.size());
	struct raft_ev ev = {};

	ev.kind = RAFT_EV_PROPOSE;
	ev.u.propose.data = &s;
	ev.u.propose.n = 1;
	return step(instance, ev);
}

inline enum status
RaftSim::add_member(uint32_t leader, uint32_t instance)
{
	struct raft_ev ev = {};

	ev.kind = RAFT_EV_MEMBER_ADD;
	ev.u.member.replica = node(instance).disk.replica;
	ev.u.member.instance = instance;
	ev.u.member.domain = str_from("zone");
	return step(leader, ev);
}

inline enum status
RaftSim::remove_member(uint32_t leader, uint64_t replica)
{
	struct raft_ev ev = {};

	ev.kind = RAFT_EV_MEMBER_REMOVE;
	ev.u.member.replica = replica;
	return step(leader, ev);
}

inline enum status
RaftSim::event(uint32_t instance, enum raft_ev_kind kind)
{
	struct raft_ev ev = {};

	ev.kind = kind;
	return step(instance, ev);
}

/* Checks that a new leader has all that was committed in earlier terms. */
inline void
RaftSim::check_new_leader(uint32_t instance)
{
	SimDisk d = node(instance).log_in_memory();
	uint64_t term = node(instance).leads_term;

	for (uint64_t i = d.snap_index + 1; i <= history.size(); i++) {
		if (commit_terms[i - 1] >= term)
			continue;
		if (i > d.snap_index + d.log.size() ||
		    !(d.log[i - d.snap_index - 1] == history[i - 1])) {
			report_violation("a leader lacks a committed entry");
			return;
		}
	}
}

/* Requests a read barrier, which is checked when it is confirmed. */
inline void
RaftSim::barrier(uint32_t instance)
{
	struct raft_ev ev = {};

	ev.kind = RAFT_EV_CONFIRM_LEADERSHIP;
	ev.u.confirm = ++next_barrier;
	node(instance).barriers[next_barrier] = history.size();
	step(instance, ev);
}

inline uint32_t
RaftSim::leader() const
{
	uint32_t best = 0;
	uint64_t term = 0;

	for (size_t i = 0; i < nodes.size(); i++) {
		const SimNode &n = *nodes[i];
		if (n.up() && raft_role(n.raft) == RAFT_LEADER &&
		    raft_term(n.raft) > term) {
			term = raft_term(n.raft);
			best = (uint32_t)i + 1;
		}
	}
	return best;
}

/* Returns whether every running member has applied the whole log. */
inline bool
RaftSim::all_applied() const
{
	uint32_t l = leader();

	if (l == 0)
		return false;
	for (auto &m : nodes[l - 1]->members()) {
		const SimNode &n = *nodes[m.instance - 1];
		if (n.disk.replica == m.replica && n.up() &&
		    n.applied != raft_last_index(nodes[l - 1]->raft))
			return false;
	}
	return true;
}

inline void
RaftSim::isolate(uint32_t instance, bool in, bool out)
{
	for (uint32_t i = 1; i <= nodes.size(); i++) {
		if (out)
			blocked.insert({ instance, i });
		if (in)
			blocked.insert({ i, instance });
	}
}

#endif
