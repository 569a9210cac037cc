#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include <talloc.h>
}

#include "base/log.h"
#include "control/cell_impl.h"
#include "control/wal.h"
#include "node/control.h"
#include "node/frame.h"
#include "node/nctr.h"
#include "node/peer.h"
#include "node/sock.h"

#define TIMEOUT_MS 10000

/* Another instance, simulated by the test, and its connections. */
struct fake_instance {
	uint32_t instance = 0;
	int listen = -1;
	int in = -1;  /* made to instance 1 */
	int out = -1; /* made by instance 1 */
	std::string got;
	uint64_t replied = 0;		/* id of the newest reply */
	enum status status = STATUS_OK; /* of that reply */
};

/*
 * Runs the control thread of instance 1, the only voter; instances 2 and 3 are
 * simulated. A script runs within each sync of its log.
 */
class ControlSync : public ::testing::Test {
      protected:
	std::string dir, addr;
	struct fake_instance fakes[2];
	struct node_peer peers[3];
	std::string peer_addr[2];
	struct node_conf conf = {};
	struct node_shared shared = {};
	struct mbox traffic, *threads[1] = { &traffic };
	struct wal_io io = { on_write, on_sync, this };
	struct control *control = NULL;
	struct node_counters counters = {};
	std::thread thread;
	std::atomic<int> script_runs{ -1 }; /* -1: the script is off */
	std::atomic<bool> replied_before_sync{ false }, sync_fails{ false };
	bool check_early_reply = false;
	int script_holds_ms = 0; /* the first sync takes as long instead */

	static ssize_t on_write(void *, int fd, const void *p, size_t len)
	{
		return write(fd, p, len);
	}

	static int on_sync(void *arg, int)
	{
		ControlSync *t = (ControlSync *)arg;
		int n = t->script_runs;
		if (t->sync_fails) {
			errno = EIO;
			return -1;
		}
		if (n >= 0) {
			t->script(n + 1);
			t->script_runs = n + 1;
		}
		return 0;
	}

	uint64_t ops()
	{
		return ctr_get(counters.v[counters.n - 1].set, CELL_C_OPS);
	}

	/* Waits until the replica has received so many operations, and what
	 * they have to write was passed to the disk: the event loop handles
	 * descriptors in the order in which they become ready. */
	bool ops_passed_on(uint64_t n)
	{
		struct pollfd p = { shared.control.fd, POLLIN, 0 };
		int ms = 0;
		while (ops() < n && ms++ < TIMEOUT_MS)
			usleep(1000);
		mbox_post(&shared.control, mbox_msg_new(MBOX_IDLE, 0));
		while (poll(&p, 1, 0) > 0 && ms++ < TIMEOUT_MS)
			usleep(1000);
		return ms < TIMEOUT_MS;
	}

	/* What instances 2 and 3 send and receive in the n-th sync, which goes
	 * on meanwhile. */
	void script(int n)
	{
		if (n == 1 && script_holds_ms > 0) {
			usleep(script_holds_ms * 1000);
		} else if (n == 1) {
			uint64_t before = ops();
			send_claim(fakes[0], 2);
			if (!check_early_reply)
				send_claim(fakes[1], 3);
			EXPECT_TRUE(ops_passed_on(
			    before + (check_early_reply ? 1 : 2)));
		} else if (n == 2 && check_early_reply) {
			receive(fakes[0], TIMEOUT_MS);
			replied_before_sync = fakes[0].replied == 1;
		}
	}

	static std::string address(int fd)
	{
		struct sockaddr_in sin;
		socklen_t len = sizeof(sin);
		getsockname(fd, (struct sockaddr *)&sin, &len);
		return "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
	}

	static void send_frame(
	    int fd, enum frame_type type, const Control__PeerMsg &m)
	{
		std::string s(
		    FRAME_HEADER_BYTES + control__peer_msg__get_packed_size(&m),
		    0);
		uint8_t *p = (uint8_t *)s.data();
		control__peer_msg__pack(&m, p + FRAME_HEADER_BYTES);
		frame_write_header(p, type, p + FRAME_HEADER_BYTES,
		    s.size() - FRAME_HEADER_BYTES);
		EXPECT_EQ((ssize_t)s.size(),
		    send(fd, s.data(), s.size(), MSG_NOSIGNAL));
	}

	/* Sends a heartbeat; tells whether anything is answered in time. What
	 * came before counts for nothing. */
	static bool is_heartbeat_answered(int fd, int wait_ms)
	{
		uint8_t frame[FRAME_HEADER_BYTES];
		struct pollfd p = { fd, POLLIN, 0 };
		char buf[4096];
		while (poll(&p, 1, 0) > 0 && recv(fd, buf, sizeof(buf), 0) > 0)
			continue;
		frame_write_header(frame, FRAME_HEARTBEAT, NULL, 0);
		return send(fd, frame, sizeof(frame), MSG_NOSIGNAL) ==
		    (ssize_t)sizeof(frame) &&
		    poll(&p, 1, wait_ms) == 1 &&
		    recv(fd, buf, sizeof(buf), 0) > 0;
	}

	static void send_hello(const struct fake_instance &s, int fd)
	{
		Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
		Control__Hello h = CONTROL__HELLO__INIT;
		m.group = 1;
		m.from = h.instance = s.instance;
		m.hello = &h;
		h.cluster = (char *)"test";
		h.group = 1;
		h.incarnation = s.instance;
		send_frame(fd, FRAME_HELLO, m);
	}

	/* Forwards the claim of a key, which is the id as text. */
	static void send_claim(const struct fake_instance &s, uint64_t id)
	{
		Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
		Control__Forward f = CONTROL__FORWARD__INIT;
		Control__Op op = CONTROL__OP__INIT;
		Control__KeyClaim k = CONTROL__KEY_CLAIM__INIT;
		std::string key = std::to_string(id);
		m.group = 1;
		m.from = k.instance = s.instance;
		m.forward = &f;
		f.id = k.request = id;
		f.op = &op;
		op.key_claim = &k;
		k.key = (char *)key.c_str();
		k.class_name = (char *)"c";
		k.incarnation = s.instance;
		send_frame(s.in, FRAME_MSG, m);
	}

	/* Handles what arrives within wait_ms; false if nothing does. */
	static bool receive(struct fake_instance &s, int wait_ms)
	{
		struct pollfd p = { s.out, POLLIN, 0 };
		struct frame f;
		char buf[65536];
		if (poll(&p, 1, wait_ms) != 1)
			return false;
		ssize_t n = recv(s.out, buf, sizeof(buf), 0);
		if (n <= 0)
			return false;
		s.got.append(buf, (size_t)n);
		while (frame_parse(str_mem(s.got.data(), s.got.size()), &f) ==
		    FRAME_OK) {
			if (f.type == FRAME_MSG)
				take(s, f.payload);
			s.got.erase(0, f.size);
		}
		return true;
	}

	static void take(struct fake_instance &s, struct str payload)
	{
		Control__PeerMsg *m = control__peer_msg__unpack(
		    NULL, payload.len, (const uint8_t *)payload.p);
		ASSERT_NE(nullptr, m);
		if (m->forward_reply != NULL) {
			s.status =
			    (enum status)m->forward_reply->result->status;
			s.replied = m->forward_reply->id;
		}
		control__peer_msg__free_unpacked(m, NULL);
	}

	static bool replied(struct fake_instance &s, uint64_t id)
	{
		while (s.replied != id) {
			if (!receive(s, TIMEOUT_MS))
				return false;
		}
		EXPECT_EQ(STATUS_OK, s.status);
		return true;
	}

	/* Claims keys until one is accepted: the leader serves once the first
	 * entry of its term is on disk. Shows that both connections work. */
	static bool is_served(struct fake_instance &s)
	{
		for (uint64_t id = 100 * s.instance; id < 1000; id++) {
			send_claim(s, id);
			while (s.replied != id) {
				if (!receive(s, TIMEOUT_MS))
					return false;
			}
			if (s.status == STATUS_OK)
				return true;
			EXPECT_EQ(STATUS_NOT_LEADER, s.status);
			usleep(10000);
		}
		return false;
	}

	/* Receives for a while; tells whether the reply to an operation came.
	 */
	static bool is_replied_within(
	    struct fake_instance &s, uint64_t id, int wait_ms)
	{
		for (int ms = 0; ms < wait_ms && s.replied != id; ms += 10)
			receive(s, 10);
		return s.replied == id;
	}

	/* Waits until the n-th sync; meanwhile only the script receives. */
	bool synced(int n)
	{
		for (int ms = 0; script_runs < n && ms < TIMEOUT_MS; ms++)
			usleep(1000);
		return script_runs >= n;
	}

	void SetUp() override
	{
		struct control_conf cc = {};
		struct err e;
		const char *tmp = getenv("TMPDIR");
		dir = std::string(tmp == NULL ? "/tmp" : tmp) + "/cbXXXXXX";
		ASSERT_NE(nullptr, mkdtemp(dir.data()));
		std::string data = dir + "/data";
		err_clear(&e);
		log_set_level(LOG_ERR);
		cc.peer_fd = sock_listen(str_from("127.0.0.1:0"), false, &e);
		addr = address(cc.peer_fd);
		peers[0] = { 1, str_from(addr.c_str()) };
		for (int i = 0; i < 2; i++) {
			fakes[i].instance = (uint32_t)i + 2;
			fakes[i].listen =
			    sock_listen(str_from("127.0.0.1:0"), false, &e);
			peer_addr[i] = address(fakes[i].listen);
			peers[i + 1] = { fakes[i].instance,
				str_from(peer_addr[i].c_str()) };
		}
		conf.cluster = str_from("test");
		conf.group = conf.instance = 1;
		conf.domain = str_from("d1");
		conf.peers = peers;
		conf.npeers = 3;
		conf.data_dir = str_from(data.c_str());
		conf.config_freshness_ms = NODE_CONFIG_FRESHNESS_MS;
		conf.key_retention_ms = NODE_KEY_RETENTION_MS;
		conf.lease_ms = NODE_LEASE_MS;
		conf.poll_ms = NODE_POLL_MS;
		conf.replicas = 1;
		ASSERT_EQ(STATUS_OK, node_init_group(&conf, &e)) << e.msg;
		ASSERT_EQ(STATUS_OK, mbox_init(&shared.control, 16, &e));
		cc.node = &conf;
		cc.incarnation = 1;
		cc.shared = &shared;
		ASSERT_EQ(STATUS_OK, mbox_init(&traffic, 16, &e));
		cc.threads = threads;
		cc.nthreads = 1;
		cc.io = &io;
		control = control_new(NULL, &cc, &e);
		ASSERT_NE(nullptr, control) << e.msg;
		control_register_counters(control, &counters);
		ASSERT_STREQ("cell", counters.v[counters.n - 1].module);
		thread = std::thread([this] {
			struct err re;
			EXPECT_EQ(STATUS_OK, control_run(control, &re));
		});
		for (struct fake_instance &s : fakes) {
			struct pollfd p = { s.listen, POLLIN, 0 };
			ASSERT_EQ(1, poll(&p, 1, TIMEOUT_MS));
			s.out = accept(s.listen, NULL, NULL);
			send_hello(s, s.out);
			s.in = sock_connect(str_from(addr.c_str()), &e);
			send_hello(s, s.in);
			ASSERT_TRUE(is_served(s));
		}
	}

	/* Ends the control thread and frees what it had. */
	void stop()
	{
		if (control == NULL)
			return;
		mbox_post(&shared.control, mbox_msg_new(MBOX_DRAIN, 0));
		mbox_post(&shared.control, mbox_msg_new(MBOX_IDLE, 0));
		thread.join();
		talloc_free(control);
		control = NULL;
	}

	void TearDown() override
	{
		stop();
		mbox_destroy(&shared.control);
		mbox_destroy(&traffic);
		for (struct fake_instance &s : fakes) {
			close(s.listen);
			close(s.in);
			close(s.out);
		}
		EXPECT_EQ(0, system(("rm -r " + dir).c_str()));
		log_set_level(LOG_INFO);
	}
};

/* Guards against queueing messages, such as answers and entries for followers,
 * until the next sync of the leader's own log has ended. */
TEST_F(ControlSync, MessagesLeaveBeforeTheNextSync)
{
	check_early_reply = true;
	script_runs = 0;
	send_claim(fakes[0], 1);
	ASSERT_TRUE(synced(2));
	EXPECT_TRUE(replied_before_sync);
	EXPECT_TRUE(replied(fakes[0], 2));
	EXPECT_EQ(2, script_runs);
}

/* Guards against a separate sync for each connection with new messages. */
TEST_F(ControlSync, WhatArrivesDuringASyncSharesTheNext)
{
	script_runs = 0;
	send_claim(fakes[0], 1);
	ASSERT_TRUE(synced(2));
	EXPECT_TRUE(replied(fakes[0], 2));
	EXPECT_TRUE(replied(fakes[1], 3));
	EXPECT_EQ(2, script_runs);
}

/* Guards against a control thread that waits for its disk: the other instances
 * would close their connections to it after 1.2 s, again and again. */
TEST_F(ControlSync, OtherInstancesAreAnsweredDuringASync)
{
	script_holds_ms = PEER_ANSWER_TIMEOUT_MS + 800;
	script_runs = 0;
	send_claim(fakes[0], 1);
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(is_heartbeat_answered(fakes[0].in, 500));
	EXPECT_EQ(0, script_runs); /* the sync goes on */
	EXPECT_TRUE(synced(1));
}

/* Guards against an answer that leaves before the entry on which it rests is on
 * disk, and would be lost with the process. */
TEST_F(ControlSync, AnswersWaitForTheSync)
{
	script_holds_ms = 800;
	script_runs = 0;
	send_claim(fakes[0], 1);
	EXPECT_FALSE(is_replied_within(fakes[0], 1, 400));
	EXPECT_EQ(0, script_runs); /* the sync goes on */
	EXPECT_TRUE(replied(fakes[0], 1));
	EXPECT_EQ(1, script_runs);
}

/* Guards against a replica that answers, or goes on as the leader, although its
 * log could not be synced. */
TEST_F(ControlSync, AFailedSyncStopsTheReplica)
{
	const struct ctr_set *node = counters.v[0].set;
	log_set_level(LOG_ALERT);
	sync_fails = true;
	send_claim(fakes[0], 1);
	for (int ms = 0; ctr_get(node, NCTR_DISK_FAILED) == 0; ms++) {
		ASSERT_GT(TIMEOUT_MS, ms);
		usleep(1000);
	}
	EXPECT_FALSE(is_replied_within(fakes[0], 1, 300));
	send_claim(fakes[0], 2);
	EXPECT_TRUE(is_replied_within(fakes[0], 2, TIMEOUT_MS));
	EXPECT_EQ(STATUS_NOT_LEADER, fakes[0].status);
	EXPECT_EQ(1u, ctr_get(node, NCTR_DISK_FAILED));
}

/* Guards against a shutdown during a sync that frees the log under the thread
 * which writes it, or loses what is queued. */
TEST_F(ControlSync, ShutdownWaitsForTheSync)
{
	script_holds_ms = 3000;
	script_runs = 0;
	send_claim(fakes[0], 1);
	EXPECT_FALSE(is_replied_within(fakes[0], 1, 100));
	stop();
	EXPECT_LE(1, script_runs);
}
