#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/rng.h"
#include "request/grant.h"

namespace {

const int64_t MS = 1000000;
const int64_t TTL_MS = 4000, FRESH_MS = 700;
/* Longest time from the decision to send a request to its arrival. */
const int64_t SEND_MS = 1480;
const unsigned SLOTS = 8, CONNS = 60;

/* Slots and the sequence number of the grant that gave them. */
struct Use {
	uint32_t slots;
	uint64_t seq;
};

/* A request, in true time. Its slot is released later than it ends if its
 * answer is lost. */
struct Run {
	int64_t arrival, end, release;
};

/* What an instance holds of one worker. */
struct Held {
	unsigned slots = 0, conns = 0;
	uint64_t seq = 0;
	/* By the clock of the instance. */
	int64_t start_until = 0, expiry = 0;
	std::vector<Run> runs;
};

/* An instance, which applies replies and uses the slots granted. */
struct Instance {
	uint32_t id;
	uint64_t incarnation;
	double rate; /* of its clock, 1 is exact */
	bool alive = true;
	int64_t partitioned_until = 0; /* no messages before */
	uint64_t term = 0, heartbeat = 0, newest_reply = 0;
	double demand = 0;
	/* Time of each heartbeat, by its own clock. */
	std::map<uint64_t, int64_t> sent;
	std::map<uint64_t, Held> held; /* by worker */
	/* Returns the time on the clock of this instance. */
	int64_t own(int64_t t) const
	{
		return (int64_t)((double)t * rate);
	}
};

/* A heartbeat or a reply in transit. */
struct Msg {
	int64_t at;
	bool reply;
	size_t inst;   /* index */
	unsigned node; /* of a heartbeat: its destination */
	uint64_t heartbeat, term;
	unsigned demand;
	/* Of a heartbeat: the slots held and their grant. */
	std::map<uint64_t, Use> use;
	std::map<uint64_t, unsigned> used;
	std::map<uint64_t, Use> grants;
	std::map<uint64_t, unsigned> conns;
};

/* A poll of a worker, or its answer, in transit. */
struct Poll {
	int64_t at;
	bool answer;
	uint64_t epoch, order; /* order: to count, by term */
	unsigned running;
};

/* Simulation of instances, successive leaders and an unreliable network. */
struct GrantSim {
	struct rng r;
	uint64_t seed;
	int64_t now = 1000 * MS;
	std::vector<Instance> instances;
	std::vector<uint64_t> epochs;
	std::vector<Msg> net;
	/* Instances start requests for FRESH_MS, and workers count them. */
	bool counts;
	uint64_t fence = 0; /* term */
	int64_t ttl_ms;
	std::vector<Poll> polls;
	std::map<uint64_t, uint64_t> carried_out, ordered; /* by worker */
	struct grant *leader = NULL;
	unsigned node = 0;
	uint64_t term = 0, index = 100;
	double leader_rate = 1;
	double loss, duplicates;
	double slow; /* share of messages delayed by seconds */
	bool violated = false;
	unsigned long leaders = 0, moved = 0, checks = 0, counted = 0;

	explicit GrantSim(uint64_t s, bool count = false)
	    : seed(s), counts(count), ttl_ms(count ? 4 * TTL_MS : TTL_MS)
	{
		rng_init(&r, s);
		loss = rng_unit(&r) * 0.4;
		duplicates = rng_unit(&r) * 0.3;
		slow = rng_unit(&r) * 0.3;
		for (uint32_t i = 0; i < 4; i++)
			join(i + 1);
		elect();
		for (int i = 0; i < 3; i++)
			worker();
	}
	~GrantSim()
	{
		talloc_free(leader);
	}
	/* Returns a random rate of a clock, within 0.5 percent of 1. */
	double skew()
	{
		return 1 + (rng_unit(&r) - 0.5) * 0.0098;
	}
	/* Returns the time on the clock of the leader. */
	struct timespec leader_now()
	{
		return clk_from_ns((int64_t)((double)now * leader_rate));
	}
	/* Adds an incarnation of an instance, without slots. */
	void join(uint32_t id)
	{
		Instance i;

		i.id = id;
		i.incarnation = rng_next(&r);
		i.rate = skew();
		instances.push_back(i);
	}
	/* Adds a worker with a new epoch. */
	void worker()
	{
		epochs.push_back(++index);
		grant_update_worker(
		    leader, leader_now(), index, SLOTS, CONNS, false);
	}
	/* Replaces the leader by one that knows only the workers. */
	void elect()
	{
		struct grant_conf conf = { ttl_ms, 10000, 1,
			counts ? FRESH_MS : 0 };

		talloc_free(leader);
		leader_rate = skew();
		leader = grant_new(NULL, &conf, leader_now());
		node = (unsigned)rng_below(&r, 3);
		term++;
		leaders++;
		ordered.clear();
		grant_set_term(leader, term, fence, ++index);
		for (uint64_t e : epochs)
			grant_update_worker(
			    leader, leader_now(), e, SLOTS, CONNS, false);
	}
	/* Sends a message, which may be lost, duplicated or delayed. */
	void send(Msg m)
	{
		int copies = rng_chance(&r, loss) ? 0 : 1;

		copies += rng_chance(&r, duplicates) ? 1 : 0;
		for (; copies > 0; copies--) {
			m.at = now + (int64_t)rng_below(&r, 5 * MS);
			if (rng_chance(&r, slow))
				m.at += (int64_t)rng_below(&r, 3000 * MS);
			net.push_back(m);
		}
	}
	/* Releases the slots of requests whose time has come. */
	void end_requests()
	{
		for (Instance &i : instances)
			for (auto &h : i.held) {
				auto &v = h.second.runs;

				v.erase(std::remove_if(v.begin(), v.end(),
					    [&](const Run &x) {
						    return x.release <= now;
					    }),
				    v.end());
			}
	}
	/* Returns the requests on their way to the worker or running there. */
	unsigned pending(const Held &h)
	{
		unsigned n = 0;

		for (const Run &x : h.runs)
			n += x.end > now;
		return n;
	}
	/* Returns the slots of a grant that has not expired. */
	unsigned valid(const Instance &i, const Held &h)
	{
		return i.alive && h.expiry > i.own(now) ? h.slots : 0;
	}
	/* Returns the slots that an instance may use now. */
	unsigned granted(const Instance &i, const Held &h)
	{
		return counts && h.start_until <= i.own(now) ? 0 : valid(i, h);
	}
	/* Sends a heartbeat of instance n, to a former leader at times. */
	void heartbeat(size_t n)
	{
		Instance &i = instances[n];
		Msg m = {};

		m.inst = n;
		m.node =
		    rng_chance(&r, 0.8) ? node : (unsigned)rng_below(&r, 3);
		m.heartbeat = ++i.heartbeat;
		m.term = i.term;
		m.demand = (unsigned)i.demand;
		i.sent[m.heartbeat] = i.own(now);
		if (i.partitioned_until > now)
			return;
		for (auto &h : i.held) {
			unsigned used = (unsigned)h.second.runs.size();

			m.use[h.first] = { std::max(valid(i, h.second), used),
				h.second.seq };
			m.used[h.first] = used;
		}
		send(m);
	}
	/* Handles a heartbeat at its destination, and replies if that leads. */
	void receive_heartbeat(const Msg &m)
	{
		TALLOC_CTX *ctx = talloc_new(NULL);
		Control__Beat b = CONTROL__BEAT__INIT;
		Control__BeatReply rep = CONTROL__BEAT_REPLY__INIT;
		Control__ClassDemand d = CONTROL__CLASS_DEMAND__INIT, *dp = &d;
		std::vector<Control__SlotUse> use(m.use.size());
		std::vector<Control__SlotUse *> ptr;
		size_t k = 0;
		Msg out = {};

		if (m.node == node) {
			b.instance = instances[m.inst].id;
			b.incarnation = instances[m.inst].incarnation;
			b.seq = m.heartbeat;
			b.has_term = 1;
			b.term = m.term;
			d.running = m.demand;
			b.n_demand = 1;
			b.demand = &dp;
			for (auto &u : m.use) {
				control__slot_use__init(&use[k]);
				use[k].epoch = u.first;
				use[k].held = u.second.slots;
				use[k].used = m.used.at(u.first);
				use[k].has_grant_seq = 1;
				use[k].grant_seq = u.second.seq;
				ptr.push_back(&use[k++]);
			}
			b.n_slots = ptr.size();
			b.slots = ptr.data();
			grant_handle_heartbeat(
			    leader, leader_now(), &b, ctx, &rep);
			out.reply = true;
			out.inst = m.inst;
			out.heartbeat = m.heartbeat;
			out.term = term;
			for (size_t g = 0; g < rep.n_grants; g++) {
				const Control__Grant *x = rep.grants[g];

				out.grants[x->epoch] = { x->slots, x->seq };
				out.conns[x->epoch] = x->connections;
			}
			send(out);
		}
		talloc_free(ctx);
	}
	/* Applies the grants of a reply, as an instance does. */
	void receive_reply(const Msg &m)
	{
		Instance &i = instances[m.inst];

		if (!i.alive || i.partitioned_until > now || m.term < i.term ||
		    m.heartbeat <= i.newest_reply)
			return;
		i.term = m.term;
		i.newest_reply = m.heartbeat;
		for (auto &g : m.grants) {
			Held &h = i.held[g.first];

			moved += g.second.slots > h.slots;
			h.start_until = i.sent[m.heartbeat] + FRESH_MS * MS;
			h.expiry = i.sent[m.heartbeat] + ttl_ms * MS;
			h.seq = g.second.seq;
			h.slots = g.second.slots;
			h.conns = m.conns.at(g.first);
		}
	}
	/* Starts requests that end before their grant expires. */
	void start_requests(Instance &i)
	{
		for (auto &x : i.held) {
			Held &h = x.second;
			int64_t left = h.expiry - i.own(now);

			int64_t latest = now + left - left / 100;

			left -= left / 100;
			/* Some requests are short, so that counts differ. */
			if (counts && rng_chance(&r, 0.7))
				left = std::min(left, 1500 * MS);
			while (h.runs.size() < granted(i, h) && left > 2 * MS &&
			    rng_chance(&r, 0.7)) {
				int64_t send =
				    counts ? rng_below(&r, SEND_MS) * MS : 0;

				int64_t end = now +
				    (int64_t)rng_below(&r, (uint64_t)left);
				bool lost = counts && rng_chance(&r, 0.2);

				h.runs.push_back(
				    { now + send, end, lost ? latest : end });
			}
		}
	}
	/* Returns the requests that a worker runs. */
	unsigned running(uint64_t epoch)
	{
		unsigned n = 0;

		end_requests();
		for (Instance &i : instances)
			for (const Run &x : i.held[epoch].runs)
				n += x.arrival <= now && x.end > now;
		return n;
	}
	/* Sends a poll or its answer, like send. */
	void send_poll(Poll p)
	{
		int copies = rng_chance(&r, loss) ? 0 : 1;

		copies += rng_chance(&r, duplicates) ? 1 : 0;
		for (; copies > 0; copies--) {
			p.at = now + (int64_t)rng_below(&r, 5 * MS);
			if (rng_chance(&r, slow))
				p.at += (int64_t)rng_below(&r, 3000 * MS);
			polls.push_back(p);
		}
	}
	/* Handles a poll at the leader as a cell does, or an answer. */
	void receive_poll(const Poll &p)
	{
		uint64_t &order = ordered[p.epoch];

		if (p.answer) {
			uint64_t &done = carried_out[p.epoch];

			done = std::max(done, p.order);
			return;
		}
		if (order != 0 && p.order >= order) {
			unsigned free =
			    grant_free_slots(leader, leader_now(), p.epoch);

			grant_set_running(leader, p.epoch, p.running);
			counted += grant_free_slots(
				       leader, leader_now(), p.epoch) > free;
		}
		if (order == 0 &&
		    grant_wants_count(leader, leader_now(), p.epoch))
			order = fence = term;
		send_poll({ 0, true, p.epoch, order, 0 });
	}
	/* Returns true if the real use of each worker is within its limits. The
	 * sums are computed independently of the code under test. */
	bool within_limits()
	{
		end_requests();
		for (uint64_t e : epochs) {
			unsigned sum = 0, conns = 0;

			for (Instance &i : instances) {
				Held &h = i.held[e];

				sum += std::max(granted(i, h), pending(h));
				if (granted(i, h) > 0)
					conns += h.conns;
			}
			checks++;
			if (sum > SLOTS || conns > CONNS) {
				printf("seed %lu worker %lu slots %u "
				       "connections %u\n",
				    (unsigned long)seed, (unsigned long)e, sum,
				    conns);
				return false;
			}
		}
		return true;
	}
	/* Causes one random event and delivers what has arrived. */
	void event()
	{
		size_t n = (size_t)rng_below(&r, instances.size());
		double p = rng_unit(&r);

		while (!instances[n].alive)
			n = (size_t)rng_below(&r, instances.size());
		now += (int64_t)rng_below(&r, 40) * MS;
		if (p < 0.40) {
			instances[n].demand = (double)rng_below(&r, 30);
			start_requests(instances[n]);
		} else if (p < 0.80) {
			heartbeat(n);
		} else if (p < 0.804) {
			instances[n].alive = false;
			join(instances[n].id);
		} else if (p < 0.808) {
			instances[n].partitioned_until = now + 5000 * MS;
		} else if (p < 0.812) {
			elect();
		} else if (p < 0.815) {
			worker();
		} else if (counts) {
			uint64_t e = epochs[rng_below(&r, epochs.size())];

			send_poll({ 0, false, e, carried_out[e], running(e) });
		}
		deliver();
	}
	/* Delivers the messages that have arrived; checks the limits after
	 * each. */
	void deliver()
	{
		for (size_t k = 0; k < net.size();) {
			Msg m = net[k];

			if (m.at > now) {
				k++;
				continue;
			}
			net.erase(net.begin() + (long)k);
			m.reply ? receive_reply(m) : receive_heartbeat(m);
			violated = violated || !within_limits();
		}
		for (size_t k = 0; k < polls.size();) {
			Poll x = polls[k];

			if (x.at > now) {
				k++;
				continue;
			}
			polls.erase(polls.begin() + (long)k);
			receive_poll(x);
		}
	}
	/* Sends heartbeats of all live instances and delivers the replies. */
	void settle(int rounds)
	{
		loss = duplicates = slow = 0;
		for (int k = 0; k < rounds; k++) {
			for (size_t n = 0; n < instances.size(); n++)
				if (instances[n].alive)
					heartbeat(n);
			now += 250 * MS;
			for (Msg &m : net)
				m.node = node;
			deliver();
			now += 250 * MS;
			deliver();
		}
	}
};

} // namespace

/* Guards against granting slots that an instance may still use, after lost,
 * late, duplicated and reordered heartbeats and replies, restarts of instances
 * and changes of leader. */
TEST(Grant, NeverGrantsWhatMayBeInUse)
{
	unsigned long rounds = 0, checks = 0, moved = 0, leaders = 0;

	for (uint64_t seed = 1; seed <= 400; seed++, rounds++) {
		GrantSim w(seed);

		for (int i = 0; i < 1200 && !w.violated; i++) {
			w.event();
			w.violated = w.violated || !w.within_limits();
		}
		ASSERT_FALSE(w.violated) << "seed " << seed;
		checks += w.checks;
		moved += w.moved;
		leaders += w.leaders;
	}
	printf("rounds %lu\n", rounds);
	printf("figure grant_checks %lu slots_moved %lu leaders %lu\n", checks,
	    moved, leaders);
	EXPECT_GT(moved, rounds * 10);
}

/* Guards against the same with workers that count their requests, so that slots
 * of silent instances are granted again before their grants expire. */
TEST(Grant, NeverGrantsWhatMayBeInUseAfterACount)
{
	unsigned long counted = 0, rounds = 400;

	for (uint64_t seed = 1; seed <= rounds; seed++) {
		GrantSim w(seed, true);

		for (int i = 0; i < 1200 && !w.violated; i++) {
			w.event();
			w.violated = w.violated || !w.within_limits();
		}
		ASSERT_FALSE(w.violated) << "seed " << seed;
		counted += w.counted;
	}
	printf("figure freed_by_count %lu\n", counted);
	EXPECT_GT(counted, rounds);
}

/* Guards against a new leader that leaves a worker unused until grants of
 * instances that are gone have expired, although the worker runs nothing. */
TEST(Grant, SlotsOfSilentInstancesAreFreeOnceTheWorkerCountsFewer)
{
	GrantSim w(3, true);
	uint64_t e = w.epochs[0];
	Instance &in = w.instances[0];
	int64_t start;

	while (w.instances.size() > 1)
		w.instances.pop_back();
	w.elect();
	start = w.now;
	in.demand = 100;
	while (!grant_wants_count(w.leader, w.leader_now(), e)) {
		w.settle(1);
		EXPECT_EQ(0u, w.granted(in, in.held[e]));
		ASSERT_LT(w.now, start + w.ttl_ms * MS);
	}
	EXPECT_GE(w.now, start + (FRESH_MS + 1500) * MS);
	grant_set_running(w.leader, e, 3);
	w.settle(2);
	EXPECT_EQ(SLOTS - 3, w.granted(in, in.held[e]));
	grant_set_running(w.leader, e, 5);
	w.settle(1);
	EXPECT_EQ(SLOTS - 3, w.granted(in, in.held[e]));
	grant_set_running(w.leader, e, 0);
	w.settle(1);
	EXPECT_EQ(SLOTS, w.granted(in, in.held[e]));
	EXPECT_FALSE(grant_wants_count(w.leader, w.leader_now(), e));
	EXPECT_LT(w.now, start + w.ttl_ms * MS);
}

/* Guards against an instance that starts requests under its earlier grants when
 * it is back after a count. */
TEST(Grant, AnInstanceThatReturnsLateLosesItsEarlierGrants)
{
	GrantSim w(4, true);
	uint64_t e = w.epochs[0];

	while (w.instances.size() > 2)
		w.instances.pop_back();
	w.settle(10);
	EXPECT_EQ(SLOTS / 2, w.granted(w.instances[1], w.instances[1].held[e]));
	w.elect();
	w.instances[1].partitioned_until = w.now + 3000 * MS;
	while (!grant_wants_count(w.leader, w.leader_now(), e))
		w.settle(1);
	grant_set_running(w.leader, e, 0);
	w.settle(1);
	EXPECT_EQ(SLOTS, w.granted(w.instances[0], w.instances[0].held[e]));
	w.instances[1].partitioned_until = 0;
	w.settle(1);
	EXPECT_TRUE(w.within_limits());
	EXPECT_EQ(0u, w.granted(w.instances[1], w.instances[1].held[e]));
	w.settle(10);
	EXPECT_TRUE(w.within_limits());
	EXPECT_EQ(SLOTS / 2, w.granted(w.instances[1], w.instances[1].held[e]));
}

/* Guards against slots that stay unused while an instance has demand for them,
 * and against an instance that loses all its slots. */
TEST(Grant, MovesSlotsToWhereDemandIs)
{
	GrantSim w(7);
	unsigned busy = 0;

	while (w.instances.size() > 4)
		w.instances.pop_back();
	w.instances[2].demand = 100;
	w.settle(20);
	for (uint64_t e : w.epochs) {
		unsigned sum = 0;

		for (Instance &i : w.instances)
			sum += w.granted(i, i.held[e]);
		busy += w.granted(w.instances[2], w.instances[2].held[e]);
		EXPECT_EQ(SLOTS, sum);
	}
	EXPECT_GE(busy, 22u); /* of 24 */
	w.instances[2].demand = 0;
	w.instances[0].demand = 100;
	w.settle(60);
	busy = 0;
	for (uint64_t e : w.epochs)
		busy += w.granted(w.instances[0], w.instances[0].held[e]);
	EXPECT_GE(busy, 20u);
}

/* Guards against instances that get no slot until the grants of their earlier
 * incarnations have expired, while another instance has several. */
TEST(Grant, RestartedInstancesShareWhatIsLeft)
{
	GrantSim w(8);

	while (w.instances.size() > 3)
		w.instances.pop_back();
	w.settle(10);
	for (size_t n = 0; n < 2; n++) {
		w.instances[n].alive = false;
		w.join(w.instances[n].id);
		w.settle(4);
		EXPECT_TRUE(w.within_limits());
	}
	w.settle(2);
	for (uint64_t e : w.epochs)
		for (size_t n = 2; n < w.instances.size(); n++) {
			Instance &i = w.instances[n];

			EXPECT_GT(w.granted(i, i.held[e]), 0u) << n;
		}
}

/* Guards against granting slots of a draining worker, slots that overdue
 * requests occupy, or connections that the worker does not have. */
TEST(Grant, RespectsDrainOverdueAndConnections)
{
	GrantSim w(9);
	uint64_t drain = w.epochs[0], over = w.epochs[1], few = w.epochs[2];

	w.settle(10);
	grant_update_worker(
	    w.leader, w.leader_now(), drain, SLOTS, CONNS, true);
	grant_set_overdue(w.leader, over, 3);
	grant_update_worker(w.leader, w.leader_now(), few, SLOTS, 5, false);
	w.settle(10);
	for (uint64_t e : { drain, over, few }) {
		unsigned sum = 0, conns = 0;

		for (Instance &i : w.instances) {
			sum += w.granted(i, i.held[e]);
			conns += i.held[e].conns;
		}
		EXPECT_LE(sum, e == drain ? 0u : 5u);
		EXPECT_TRUE(e != few || conns <= 5) << conns;
	}
	EXPECT_EQ(SLOTS, grant_free_slots(w.leader, w.leader_now(), drain));
	EXPECT_EQ(0u, grant_free_slots(w.leader, w.leader_now(), over));
	grant_remove_worker(w.leader, over);
	EXPECT_EQ(0u, grant_free_slots(w.leader, w.leader_now(), over));
}
