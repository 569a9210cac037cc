#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <functional>
#include <malloc.h>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include <tevent.h>
}

#include "base/clk.h"
#include "base/log.h"
#include "node/frame.h"
#include "node/nctr.h"
#include "node/peer.h"
#include "node/recvbuf.h"
#include "node/sendq.h"
#include "node/sock.h"

namespace {

const size_t MB = 1024 * 1024;
const size_t CONFIG_BYTES = 900 * 1024;
/* Three messages of entry instances of this size fit, a fourth one waits. */
const size_t THREE_FIT = 2900 * 1024;
const uint32_t REPLICA = 1, FIRST = 1000;
/* Heap of a connection and its link beyond what the account counts. */
const size_t CONNECTION_BYTES = 2048;

/* Returns the bytes that the heap has handed out; 0 with the sanitizer. */
size_t
heap_bytes()
{
#ifdef __SANITIZE_ADDRESS__
	return 0;
#else
	struct mallinfo2 m = mallinfo2();
	return m.uordblks + m.hblkhd;
#endif
}

/* A message of an instance, as a frame. */
std::string
make_frame(uint32_t from, bool is_hello, size_t size, uint64_t replica = 0)
{
	Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
	Control__Hello h = CONTROL__HELLO__INIT;
	std::string job(size, 'j');
	m.group = 1;
	m.from = from;
	if (is_hello) {
		m.hello = &h;
		h.cluster = (char *)"test";
		h.group = 1;
		h.instance = from;
		h.has_replica = replica != 0;
		h.replica = replica;
	} else {
		m.has_job = 1;
		m.job = { job.size(), (uint8_t *)job.data() };
	}
	size_t len = control__peer_msg__get_packed_size(&m);
	std::string s(FRAME_HEADER_BYTES + len, 0);
	uint8_t *p = (uint8_t *)s.data();
	control__peer_msg__pack(&m, p + FRAME_HEADER_BYTES);
	frame_write_header(
	    p, is_hello ? FRAME_HELLO : FRAME_MSG, p + FRAME_HEADER_BYTES, len);
	return s;
}

/* An instance that the replica is connected to. */
struct far {
	int fd;
	bool reads;
	std::string in;
	size_t received; /* messages */
	struct timespec beat_at;
};

/* A replica of 384 MB; the other instances are sockets of the test. */
class PeerMemory : public ::testing::Test {
      protected:
	struct tevent_context *ev = tevent_context_init(NULL);
	struct clk clk = clk_system();
	struct ctr_set ctr;
	struct memacct *account;
	struct peer *peer;
	struct sockaddr_in addr = {};
	int far_listen;
	std::map<uint32_t, far> fars;
	std::map<uint32_t, size_t> messages; /* by sender */
	size_t heap_before, heap_peak = 0, lost = 0;

	static void on_message(void *arg, const Control__PeerMsg *m)
	{
		((PeerMemory *)arg)->messages[m->from]++;
	}
	static void on_lost(void *arg, uint32_t)
	{
		((PeerMemory *)arg)->lost++;
	}
	static bool on_hello(void *, uint64_t, uint64_t, uint64_t)
	{
		return true;
	}
	static bool on_unknown(void *, uint32_t)
	{
		return true;
	}
	void SetUp() override
	{
		struct memacct_limits l = memacct_split(MEMACCT_REPLICA, 384);
		struct peer_conf c = {};
		socklen_t len = sizeof(addr);
		struct err e;
		log_set_level(LOG_ERR);
		ctr_init(&ctr, ev, nctr_desc, NCTR_COUNT);
		account = memacct_new(ev, &l);
		c.cluster = str_from("test");
		c.group = 1;
		c.instance = REPLICA;
		c.incarnation = 1;
		c.listen_fd = sock_listen(str_from("127.0.0.1:0"), false, &e);
		getsockname(c.listen_fd, (struct sockaddr *)&addr, &len);
		c.ctr = &ctr;
		c.account = account;
		c.max_accepted = 2000;
		c.on_message = on_message;
		c.on_disconnect = on_lost;
		c.check_hello = on_hello;
		c.on_unknown = on_unknown;
		c.arg = this;
		peer = peer_new(ev, ev, &c);
		far_listen = sock_listen(str_from("0.0.0.0:0"), false, &e);
		heap_before = heap_bytes();
	}
	void TearDown() override
	{
		for (auto &f : fars)
			close(f.second.fd);
		close(far_listen);
		talloc_free(peer);
		talloc_free(ev);
		log_set_level(LOG_INFO);
	}
	/* Connects to the replica as an instance. */
	int connect_as(uint32_t instance, uint64_t replica = 0)
	{
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(fd, (struct sockaddr *)&addr, sizeof(addr));
		tevent_loop_once(ev);
		std::string s = make_frame(instance, true, 0, replica);
		EXPECT_EQ((ssize_t)s.size(),
		    send(fd, s.data(), s.size(), MSG_NOSIGNAL));
		return fd;
	}
	/* Makes the replica connect to n instances. Their number is the last
	 * part of their address. */
	void connect_to(uint32_t n)
	{
		struct sockaddr_in sin;
		socklen_t len = sizeof(sin);
		getsockname(far_listen, (struct sockaddr *)&sin, &len);
		for (uint32_t i = FIRST; i < FIRST + n; i++) {
			std::string a = "127.0." + std::to_string(i / 256) +
			    "." + std::to_string(i % 256) + ":" +
			    std::to_string(ntohs(sin.sin_port));
			struct node_peer node = { i, str_from(a.c_str()) };
			peer_add(peer, &node);
		}
		run(10000, [&]() { return fars.size() == n; });
		ASSERT_EQ(n, fars.size());
	}
	/* Accepts a connection of the replica. */
	void accept_far()
	{
		struct sockaddr_in sin;
		socklen_t len = sizeof(sin);
		int fd = accept4(far_listen, NULL, NULL, SOCK_NONBLOCK);
		if (fd < 0)
			return;
		getsockname(fd, (struct sockaddr *)&sin, &len);
		uint32_t i = ntohl(sin.sin_addr.s_addr) & 0xffff;
		std::string s = make_frame(i, true, 0);
		send(fd, s.data(), s.size(), MSG_NOSIGNAL);
		fars[i] = { fd, true, "", 0, clk_now(&clk) };
	}
	/* Reads what the replica sent, and answers with heartbeats. */
	void serve_far(far &f)
	{
		static char buf[256 * 1024];
		struct frame fr;
		ssize_t n;
		while (f.reads &&
		    (n = recv(f.fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			f.in.append(buf, (size_t)n);
		while (frame_parse(str_mem(f.in.data(), f.in.size()), &fr) ==
		    FRAME_OK) {
			f.received += fr.type == FRAME_MSG;
			f.in.erase(0, fr.size);
		}
		if (clk_diff_ms(clk_now(&clk), f.beat_at) < 200)
			return;
		uint8_t beat[FRAME_HEADER_BYTES];
		frame_write_header(beat, FRAME_HEARTBEAT, NULL, 0);
		send(f.fd, beat, sizeof(beat), MSG_NOSIGNAL);
		f.beat_at = clk_now(&clk);
	}
	/* Runs all sides until done or for so many ms. What the sides of the
	 * test hold doesn't count for the peak of the heap. */
	void run(int64_t ms, const std::function<bool()> &done)
	{
		struct timespec end = clk_add_ms(clk_now(&clk), ms);
		while (!done() && clk_before(clk_now(&clk), end)) {
			size_t others = 0;
			tevent_loop_once(ev);
			accept_far();
			for (auto &f : fars)
				others += f.second.in.capacity();
			size_t now = heap_bytes();
			if (now > others && now - others > heap_peak)
				heap_peak = now - others;
			for (auto &f : fars)
				serve_far(f.second);
		}
	}
	/* Checks the memory for connections in both directions. */
	void expect_bounded(size_t nconns)
	{
		size_t max = nconns * (RECVBUF_SMALL_BYTES + CONNECTION_BYTES);
		for (enum memacct_use use : { MEMACCT_RECEIVE, MEMACCT_SEND }) {
			EXPECT_LE(memacct_used(account, use),
			    memacct_max(account, use));
			max += memacct_max(account, use);
		}
		EXPECT_LE(heap_peak, heap_before + max + 4 * MB);
		EXPECT_LE(memacct_used(account, MEMACCT_PEERS),
		    memacct_max(account, MEMACCT_PEERS));
	}
	/* Queues a message for an instance. */
	enum status send_to(uint32_t instance, size_t size)
	{
		Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
		std::string job(size, 'j');
		m.group = 1;
		m.from = REPLICA;
		m.has_job = 1;
		m.job = { job.size(), (uint8_t *)job.data() };
		return peer_send(peer, instance, &m);
	}
	/* Has n instances send messages of some bytes, first a part of all of
	 * them and then the rest, and checks that each of them arrives. */
	void exchange(uint32_t n, size_t size, int rounds)
	{
		std::vector<int> fds;
		std::vector<std::string> out(n);
		for (uint32_t i = 0; i < n; i++)
			fds.push_back(connect_as(FIRST + i));
		for (int r = 0; r < rounds; r++) {
			for (uint32_t i = 0; i < n; i++)
				out[i] += make_frame(FIRST + i, false, size);
			heap_before = heap_bytes();
			heap_peak = 0;
			/* Halves first: no message is whole. */
			for (size_t rest : { size / 2, (size_t)0 }) {
				run(10000, [&]() {
					return send_rest(fds, out, rest);
				});
				run(100, []() { return false; });
			}
			run(10000, [&]() {
				return messages.size() == n &&
				    count_messages() == n * (size_t)(r + 1);
			});
			expect_bounded(n);
		}
		EXPECT_EQ((size_t)(n * rounds), count_messages());
		EXPECT_EQ(0U, ctr_get(&ctr, NCTR_PEER_CLOSED));
		close_and_expect_none_held(fds);
	}
	/* Sends the beginning of a message, which takes a while also at the
	 * rate that is allowed in a shortage: longer than a connection may be
	 * silent. */
	void send_begun(int fd, const std::string &s)
	{
		size_t sent = 0, n = 160 * 1024;
		run(1000, [&]() {
			ssize_t k = send(fd, s.data() + sent, n - sent,
			    MSG_NOSIGNAL | MSG_DONTWAIT);
			sent += k > 0 ? (size_t)k : 0;
			return sent == n;
		});
	}
	/* Closes connections to the replica, some of them in the middle of a
	 * message or while they wait, and checks that nothing stays counted. */
	void close_and_expect_none_held(const std::vector<int> &fds)
	{
		for (int fd : fds)
			close(fd);
		run(5000, [&]() { return memacct_total(account) == 0; });
		EXPECT_EQ(0U, memacct_total(account));
	}
	size_t count_messages()
	{
		size_t n = 0;
		for (auto &m : messages)
			n += m.second;
		return n;
	}
	/* Sends all but some bytes; true once none can be sent, as the replica
	 * has read them or stopped reading. */
	static bool send_rest(const std::vector<int> &fds,
	    std::vector<std::string> &out, size_t rest)
	{
		bool is_done = true;
		for (size_t i = 0; i < fds.size(); i++) {
			if (out[i].size() <= rest)
				continue;
			ssize_t k = send(fds[i], out[i].data(),
			    out[i].size() - rest, MSG_NOSIGNAL | MSG_DONTWAIT);
			if (k > 0)
				out[i].erase(0, (size_t)k);
			is_done = is_done && k <= 0 && rest > 0;
		}
		return is_done;
	}
};

/* Guards against connections of instances that are closed for lack of memory,
 * and against memory beyond the bound, at the figures of ordinary traffic: at
 * most 20 KB for a job. */
TEST_F(PeerMemory, OrdinaryTrafficOf285EntryInstances)
{
	exchange(285, 20 * 1024, 3);
}

TEST_F(PeerMemory, OrdinaryTrafficOf1000EntryInstances)
{
	exchange(1000, 20 * 1024, 3);
	EXPECT_GT(ctr_get(&ctr, NCTR_PEER_READS_PAUSED), 0U);
}

/* Guards against memory beyond the bound, and senders that are closed instead
 * of waiting, as all of them send large messages at once. */
TEST_F(PeerMemory, LargeMessagesOfAllInstancesAtOnce)
{
	exchange(285, CONFIG_BYTES, 1);
	EXPECT_GT(ctr_get(&ctr, NCTR_PEER_READS_PAUSED), 0U);
}

/* Guards against instances that send large messages byte by byte and keep the
 * memory from one that waits, and against one that is closed as silent, or
 * closes the connection itself, while it has to wait. */
TEST_F(PeerMemory, MessagesThatArriveTooSlowlyMakeRoomForOthers)
{
	std::string s = make_frame(FIRST, false, THREE_FIT);
	struct timespec next = clk_now(&clk);
	size_t sent = 0, beats = 0;
	char buf[4096];
	std::vector<int> fds;
	for (uint32_t i = 0; i < 3; i++) {
		fds.push_back(connect_as(FIRST + i));
		s = make_frame(FIRST + i, false, THREE_FIT);
		send_begun(fds[i], s);
	}
	run(100, []() { return false; });
	int other = connect_as(FIRST + 9);
	s = make_frame(FIRST + 9, false, THREE_FIT);
	run(20000, [&]() {
		for (int fd : fds) {
			if (clk_before(next, clk_now(&clk)))
				send(fd, "j", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
		}
		if (clk_before(next, clk_now(&clk)))
			next = clk_add_ms(clk_now(&clk), 50);
		ssize_t k = send(other, s.data() + sent, s.size() - sent,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		sent += k > 0 ? (size_t)k : 0;
		beats += recv(other, buf, sizeof(buf), MSG_DONTWAIT) > 0;
		return messages[FIRST + 9] > 0;
	});
	EXPECT_EQ(1U, messages[FIRST + 9]);
	EXPECT_EQ(1U, ctr_get(&ctr, NCTR_PEER_READS_PAUSED));
	EXPECT_GT(beats, 10U);
	EXPECT_GT(ctr_get(&ctr, NCTR_PEER_SLOW), 0U);
	fds.push_back(other);
	close_and_expect_none_held(fds);
}

/* Guards against a consensus message that waits for slow messages of entry
 * instances: for the memory that they hold, or behind one that waits itself. */
TEST_F(PeerMemory, MessagesOfReplicasDoNotWaitForEntryInstances)
{
	std::vector<int> fds;
	for (uint32_t i = 0; i < 14; i++) {
		fds.push_back(connect_as(FIRST + i));
		send_begun(fds[i], make_frame(FIRST + i, false, CONFIG_BYTES));
	}
	run(50, []() { return false; });
	EXPECT_GT(ctr_get(&ctr, NCTR_PEER_READS_PAUSED), 0U);
	size_t paused = ctr_get(&ctr, NCTR_PEER_READS_PAUSED);
	int replica = connect_as(2, 2);
	std::string s = make_frame(2, false, 2 * MB);
	struct timespec begin = clk_now(&clk);
	run(1000, [&]() {
		ssize_t k = send(
		    replica, s.data(), s.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
		s.erase(0, k > 0 ? (size_t)k : 0);
		return messages[2] > 0;
	});
	EXPECT_EQ(1U, messages[2]);
	EXPECT_LT(clk_diff_ms(clk_now(&clk), begin), 1000);
	EXPECT_EQ(paused, ctr_get(&ctr, NCTR_PEER_READS_PAUSED));
	EXPECT_EQ(0U, ctr_get(&ctr, NCTR_PEER_SLOW));
	fds.push_back(replica);
	close_and_expect_none_held(fds);
}

/* Guards against entry instances whose configurations are closed as too slow
 * while others wait for memory, at less than half of a link of 2 Mbit/s. */
TEST_F(PeerMemory, ConfigurationsOnSlowLinksArriveWhileOthersWait)
{
	const uint32_t N = 14;
	const size_t RATE = 100 * 1000;
	std::vector<int> fds;
	std::vector<std::string> out;
	for (uint32_t i = 0; i < N; i++) {
		fds.push_back(connect_as(FIRST + i));
		out.push_back(make_frame(FIRST + i, false, CONFIG_BYTES));
	}
	std::vector<size_t> sent(N);
	struct timespec begin = clk_now(&clk);
	run(20000, [&]() {
		size_t due =
		    (size_t)clk_diff_ms(clk_now(&clk), begin) * RATE / 1000;
		for (uint32_t i = 0; i < N; i++) {
			size_t end = std::min(due, out[i].size());
			if (sent[i] >= end)
				continue;
			ssize_t k = send(fds[i], out[i].data() + sent[i],
			    end - sent[i], MSG_NOSIGNAL | MSG_DONTWAIT);
			sent[i] += k > 0 ? (size_t)k : 0;
		}
		return count_messages() == N;
	});
	EXPECT_EQ(N, count_messages());
	EXPECT_GT(ctr_get(&ctr, NCTR_PEER_READS_PAUSED), 0U);
	EXPECT_EQ(0U, ctr_get(&ctr, NCTR_PEER_CLOSED));
	close_and_expect_none_held(fds);
}

/* Guards against memory that is reserved for a large message on a connection
 * on which none may arrive. */
TEST_F(PeerMemory, ALargeMessageInTheWrongDirectionIsNotReceived)
{
	connect_to(1);
	std::string s = make_frame(FIRST, false, MB);
	EXPECT_EQ(8192, send(fars[FIRST].fd, s.data(), 8192, MSG_NOSIGNAL));
	run(500, [&]() {
		return lost > 0 || memacct_used(account, MEMACCT_RECEIVE) > 0;
	});
	EXPECT_EQ(1U, lost);
	EXPECT_EQ(0U, memacct_used(account, MEMACCT_RECEIVE));
	EXPECT_EQ(1U, ctr_get(&ctr, NCTR_PEER_BAD_MESSAGE));
}

/* Guards against instances that don't read and take the memory for messages to
 * those that do, and against a log line for each dropped message. */
TEST_F(PeerMemory, InstancesThatDoNotReadLeaveRoomForOthers)
{
	connect_to(41);
	for (auto &f : fars)
		f.second.reads = f.first == FIRST;
	log_set_level(LOG_WARNING);
	testing::internal::CaptureStdout();
	for (int round = 0; round < 30; round++) {
		for (auto &f : fars) {
			if (!f.second.reads)
				send_to(f.first, CONFIG_BYTES);
		}
		while (send_to(FIRST + 40, 10 * 1024) == STATUS_OK)
			;
		send_to(FIRST, 100 * 1024);
		run(20, []() { return false; });
	}
	run(2000, [&]() { return fars[FIRST].received == 30; });
	std::string text = testing::internal::GetCapturedStdout();
	size_t lines = 0;
	for (size_t at = 0;
	     (at = text.find("message_dropped", at)) != std::string::npos; at++)
		lines++;
	EXPECT_EQ(30U, fars[FIRST].received);
	EXPECT_GT(ctr_get(&ctr, NCTR_PEER_QUEUE_FULL), 100U);
	EXPECT_GE(lines, 1U);
	EXPECT_LE(lines, 5U);
	EXPECT_EQ(0U, lost);
	expect_bounded(2 * 41);
	/* A message to a replica is admitted, too. */
	EXPECT_TRUE(sendq_admits(account, 0, 4 * MB - 100, true));
}

/* Guards against consensus messages that are dropped as ordinary ones fill the
 * queues, and against one that a small process never sends. */
TEST_F(PeerMemory, QueuesLeaveRoomForConsensusMessages)
{
	const size_t MAX = memacct_max(account, MEMACCT_SEND);
	struct sendq q;
	sendq_init(&q, account, 1);
	/* To one more instance each time, so that none is at its own limit. */
	while (sendq_admits(account, 0, 10 * 1024, false))
		sendq_push(&q, FRAME_MSG, sendq_frame_new(10 * 1024));
	EXPECT_GT(memacct_used(account, MEMACCT_SEND), MAX / 2);
	EXPECT_TRUE(sendq_admits(account, 1, MAX / 5, true));
	while (sendq_admits(account, 1, 10 * 1024, true))
		sendq_push(&q, FRAME_MSG, sendq_frame_new(10 * 1024));
	EXPECT_LE(memacct_used(account, MEMACCT_SEND), MAX);
	EXPECT_FALSE(sendq_admits(account, 0, 1, false));
	EXPECT_TRUE(sendq_admits(account, 0, 2 * MB, true));
	sendq_destroy(&q);
	EXPECT_EQ(0U, memacct_used(account, MEMACCT_SEND));
}

/* Guards against memory beyond the bound as all instances get a large
 * configuration at once, and against one that never gets it, though it is sent
 * again. */
TEST_F(PeerMemory, ALargeConfigurationToAllInstancesAtOnce)
{
	connect_to(285);
	auto is_everywhere = [&]() {
		for (auto &f : fars) {
			if (f.second.received == 0)
				return false;
		}
		return true;
	};
	for (int i = 0; i < 100 && !is_everywhere(); i++) {
		for (auto &f : fars) {
			if (f.second.received == 0)
				send_to(f.first, CONFIG_BYTES);
		}
		run(100, is_everywhere);
	}
	EXPECT_TRUE(is_everywhere());
	EXPECT_GT(ctr_get(&ctr, NCTR_PEER_QUEUE_FULL), 0U);
	EXPECT_EQ(0U, lost);
	expect_bounded(285);
}

/* Guards against a lost part of the account, or one that isn't given back, when
 * queued messages move to a connection or are dropped. */
TEST_F(PeerMemory, QueuesGiveBackWhatTheyReserved)
{
	struct sendq a, b;
	sendq_init(&a, account, 1);
	sendq_init(&b, account, 1);
	for (int i = 0; i < 3; i++)
		sendq_push(&a, FRAME_MSG, sendq_frame_new(1000));
	size_t all = memacct_used(account, MEMACCT_SEND);
	EXPECT_GE(all, 3000U);
	sendq_append(&b, &a);
	EXPECT_EQ(all, memacct_used(account, MEMACCT_SEND));
	sendq_advance(&b, FRAME_HEADER_BYTES + 1000);
	EXPECT_EQ(all / 3 * 2, memacct_used(account, MEMACCT_SEND));
	sendq_destroy(&a);
	sendq_destroy(&b);
	EXPECT_EQ(0U, memacct_used(account, MEMACCT_SEND));
}

} // namespace
