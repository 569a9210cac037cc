#include <gtest/gtest.h>

#include "forwarder.h"
#include "script_server.h"

#include "node/tests/wall_clock.h"

#include <algorithm>
#include <sys/socket.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"
#include "base/rng.h"
#include "node/frame.h"
#include "node/nctr.h"
#include "node/peer.h"
#include "node/sendq.h"
#include "node/sock.h"

/* Tests instance 1; instance 2 is simulated. */
class Peer : public ::testing::Test {
      protected:
	struct tevent_context *ev = tevent_context_init(NULL);
	struct ctr_set ctr;
	struct peer *peer;
	struct node_peer peers[2];
	std::string addr;
	size_t messages = 0;
	bool got_message = false, accepts_hello = true;
	std::vector<uint32_t> lost; /* instances whose connection failed */

	static void on_message(void *arg, const Control__PeerMsg *m)
	{
		Peer *t = (Peer *)arg;
		t->messages++;
		t->got_message = true;
		EXPECT_EQ(2u, m->from);
	}

	static void on_down(void *arg, uint32_t instance)
	{
		((Peer *)arg)->lost.push_back(instance);
	}

	static bool on_hello(void *arg, uint64_t, uint64_t, uint64_t)
	{
		return ((Peer *)arg)->accepts_hello;
	}

	void SetUp() override
	{
		struct peer_conf c = {};
		struct sockaddr_in sin;
		socklen_t len = sizeof(sin);
		struct err e;

		log_set_level(LOG_ERR);
		ctr_init(&ctr, ev, nctr_desc, NCTR_COUNT);
		c.cluster = str_from("test");
		c.group = 1;
		c.instance = 1;
		c.incarnation = 11;
		c.listen_fd = sock_listen(str_from("127.0.0.1:0"), false, &e);
		getsockname(c.listen_fd, (struct sockaddr *)&sin, &len);
		addr = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
		/* Nobody listens on the reserved port 1. */
		peers[0] = { 1, str_from(addr.c_str()) };
		peers[1] = { 2, str_from("127.0.0.1:1") };
		c.peers = peers;
		c.npeers = 2;
		c.ctr = &ctr;
		c.on_message = on_message;
		c.on_disconnect = on_down;
		c.check_hello = on_hello;
		c.arg = this;
		peer = peer_new(ev, ev, &c);
	}

	void TearDown() override
	{
		talloc_free(peer);
		talloc_free(ev);
		log_set_level(LOG_INFO);
	}

	static std::string frame(enum frame_type type, const std::string &p)
	{
		uint8_t head[FRAME_HEADER_BYTES];
		frame_write_header(head, type, p.data(), p.size());
		return std::string((char *)head, FRAME_HEADER_BYTES) + p;
	}

	static std::string pack(const Control__PeerMsg &m)
	{
		std::string s(control__peer_msg__get_packed_size(&m), 0);
		control__peer_msg__pack(&m, (uint8_t *)s.data());
		return s;
	}

	static std::string hello_frame(const char *cluster = "test",
	    uint32_t group = 1, uint32_t instance = 2, uint64_t replica = 0)
	{
		Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
		Control__Hello h = CONTROL__HELLO__INIT;
		m.group = 1;
		m.from = instance;
		m.hello = &h;
		h.cluster = (char *)cluster;
		h.group = group;
		h.instance = instance;
		h.incarnation = 22;
		h.has_replica = replica != 0;
		h.replica = replica;
		return frame(FRAME_HELLO, pack(m));
	}

	static std::string heartbeat_reply_frame(uint32_t from = 2)
	{
		Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
		Control__BeatReply b = CONTROL__BEAT_REPLY__INIT;
		m.group = 1;
		m.from = from;
		m.beat_reply = &b;
		return frame(FRAME_MSG, pack(m));
	}

	int open_conn()
	{
		struct err e;
		int fd = sock_connect(str_from(addr.c_str()), &e);
		EXPECT_GE(fd, 0);
		return fd;
	}

	/* Sends bytes and returns whether the other side closes then. */
	bool is_closed_after(const std::string &bytes)
	{
		int fd = open_conn();
		char buf[4096];
		EXPECT_EQ((ssize_t)bytes.size(),
		    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
		bool closed = false;
		for (int i = 0; i < 100000 && !closed; i++) {
			tevent_loop_once(ev);
			ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
			closed = n == 0 || (n < 0 && errno == ECONNRESET);
		}
		close(fd);
		return closed;
	}

	uint64_t count(enum nctr which)
	{
		return ctr_get(&ctr, which);
	}
};

/* Guards against losing messages that arrive together with a valid HELLO. */
TEST_F(Peer, MessagesArriveAfterHello)
{
	int fd = open_conn();
	std::string b =
	    hello_frame() + heartbeat_reply_frame() + heartbeat_reply_frame();
	ASSERT_EQ((ssize_t)b.size(), send(fd, b.data(), b.size(), 0));
	ASSERT_TRUE(loop_until(ev, &got_message));
	EXPECT_EQ(2u, messages);
	close(fd);
}

/* Guards against accepting a HELLO of another cluster, group or instance, a
 * second one, or one of an older copy of a data directory. */
TEST_F(Peer, WrongHelloIsRefused)
{
	EXPECT_TRUE(is_closed_after(hello_frame("other")));
	EXPECT_TRUE(is_closed_after(hello_frame("test", 2)));
	EXPECT_TRUE(is_closed_after(hello_frame("test", 1, 1)));
	EXPECT_TRUE(is_closed_after(hello_frame("test", 1, 9)));
	EXPECT_TRUE(is_closed_after(hello_frame() + hello_frame()));
	EXPECT_EQ(5u, count(NCTR_PEER_HELLO_REFUSED));
	accepts_hello = false;
	EXPECT_TRUE(is_closed_after(hello_frame("test", 1, 2, 77)));
	EXPECT_EQ(6u, count(NCTR_PEER_HELLO_REFUSED));
	EXPECT_EQ(0u, messages);
}

/* Guards against accepting messages before the HELLO, with another sender's
 * number, or malformed. */
TEST_F(Peer, BadFramesAndMessagesCloseTheConnection)
{
	std::string broken = hello_frame() + heartbeat_reply_frame();
	broken[broken.size() - 1] ^= 1;
	EXPECT_TRUE(is_closed_after("GET / HTTP/1.1\r\n\r\n"));
	EXPECT_TRUE(is_closed_after(broken));
	EXPECT_EQ(2u, count(NCTR_PEER_BAD_FRAME));
	EXPECT_TRUE(is_closed_after(heartbeat_reply_frame()));
	EXPECT_TRUE(is_closed_after(hello_frame() + heartbeat_reply_frame(3)));
	EXPECT_TRUE(
	    is_closed_after(hello_frame() + frame(FRAME_MSG, "garbage")));
	EXPECT_TRUE(is_closed_after(hello_frame() + frame(FRAME_MSG, "")));
	EXPECT_EQ(4u, count(NCTR_PEER_BAD_MESSAGE));
	EXPECT_EQ(0u, messages);
}

/* Guards against a crash on any stream of bytes. */
TEST_F(Peer, FuzzedStreamsDoNotCrash)
{
	struct rng r;
	rng_init(&r, 99);
	for (int round = 0; round < 200; round++) {
		std::string b = hello_frame() + heartbeat_reply_frame() +
		    heartbeat_reply_frame();
		for (uint64_t n = rng_below(&r, 6); n > 0; n--)
			b[rng_below(&r, b.size())] = (char)rng_next(&r);
		b.resize(rng_below(&r, b.size()) + 1);
		int fd = open_conn();
		send(fd, b.data(), b.size(), MSG_NOSIGNAL);
		shutdown(fd, SHUT_WR);
		char buf[4096];
		/* Runs until the other side has closed the connection. */
		ssize_t n = -1;
		for (int i = 0; i < 100000 && n != 0 &&
		     !(n < 0 && i > 0 && errno == ECONNRESET);
		     i++) {
			tevent_loop_once(ev);
			n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		}
		close(fd);
		EXPECT_TRUE(n <= 0);
	}
	EXPECT_GT(count(NCTR_PEER_BAD_FRAME), 0u);
}

/* Guards against an unbounded queue for an unreachable instance. */
TEST_F(Peer, SendQueueIsBounded)
{
	Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
	Control__Forward f = CONTROL__FORWARD__INIT;
	Control__Op op = CONTROL__OP__INIT;
	Control__JobSubmit js = CONTROL__JOB_SUBMIT__INIT;
	Control__JobSpec spec = CONTROL__JOB_SPEC__INIT;
	std::string payload(1024 * 1024, 'x');
	enum status st = STATUS_OK;
	int n = 0;

	m.group = m.from = 1;
	m.forward = &f;
	f.op = &op;
	op.job_submit = &js;
	js.change_id = (char *)"c";
	js.spec = &spec;
	spec.class_name = (char *)"c";
	spec.payload = (char *)payload.c_str();
	while (n < 100 && (st = peer_send(peer, 2, &m)) == STATUS_OK)
		n++;
	EXPECT_EQ(STATUS_FULL, st);
	EXPECT_LE(n, SENDQ_MAX_BYTES / (1024 * 1024));
	EXPECT_EQ(STATUS_NOT_FOUND, peer_send(peer, 9, &m));
	payload.assign(FRAME_PAYLOAD_MAX_BYTES + 1, 'x');
	spec.payload = (char *)payload.c_str();
	EXPECT_EQ(STATUS_LIMIT, peer_send(peer, 2, &m));
}

/* Guards against messages that wait for a connection and are lost with it,
 * while their sender takes them for sent. */
TEST_F(Peer, MessagesLostWithTheirConnectionAreReported)
{
	script_server *other = new script_server(ev);
	struct node_peer node = { 3, str_from(other->addr.c_str()) };
	Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
	Control__BeatReply b = CONTROL__BEAT_REPLY__INIT;

	m.group = m.from = 1;
	m.beat_reply = &b;
	peer_add(peer, &node);
	ASSERT_TRUE(loop_until(ev, &other->has_accepted));
	EXPECT_EQ(STATUS_OK, peer_send(peer, 3, &m)); /* no HELLO has come */
	EXPECT_EQ(0, std::count(lost.begin(), lost.end(), 3U));
	delete other;
	for (int i = 0; i < 1000 && count(NCTR_PEER_CLOSED) == 0; i++)
		tevent_loop_once(ev);
	EXPECT_EQ(1, std::count(lost.begin(), lost.end(), 3U));
}

/* Guards against an instance that is not connected to for as long as the time
 * of day was set back. */
TEST_F(Peer, ConnectsAfterTheTimeOfDayWasSetBack)
{
	struct script_server other(ev);
	struct node_peer node = { 3, str_from(other.addr.c_str()) };

	tevent_loop_once(ev); /* the first tick */
	peer_add(peer, &node);
	WallClockSetBack back(60000);
	EXPECT_TRUE(loop_until(ev, &other.has_accepted));
}

/* Two instances; their connections to each other pass through forwarders. */
class PeerPair : public ::testing::Test {
      protected:
	struct side {
		struct ctr_set ctr;
		struct peer *peer = NULL;
		std::string addr;
		int listen_fd;
		size_t messages = 0, lost = 0;
	};
	struct tevent_context *ev = tevent_context_init(NULL);
	side sides[2];		    /* instances 1 and 2 */
	struct forwarder *paths[2]; /* to these */
	struct clk clk = clk_system();

	static void on_message(void *arg, const Control__PeerMsg *)
	{
		((side *)arg)->messages++;
	}
	static void on_down(void *arg, uint32_t)
	{
		((side *)arg)->lost++;
	}
	static bool on_hello(void *, uint64_t, uint64_t, uint64_t)
	{
		return true;
	}
	void SetUp() override
	{
		log_set_level(LOG_ERR);
		for (int i = 0; i < 2; i++) {
			struct sockaddr_in sin;
			socklen_t len = sizeof(sin);
			struct err e;
			side &s = sides[i];
			s.listen_fd =
			    sock_listen(str_from("127.0.0.1:0"), false, &e);
			getsockname(s.listen_fd, (struct sockaddr *)&sin, &len);
			s.addr =
			    "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
			paths[i] = new forwarder(ev, s.addr);
		}
		for (int i = 0; i < 2; i++) {
			side &s = sides[i];
			struct peer_conf c = {};
			struct node_peer other = { (uint32_t)(2 - i),
				str_from(paths[1 - i]->addr.c_str()) };
			ctr_init(&s.ctr, ev, nctr_desc, NCTR_COUNT);
			c.cluster = str_from("test");
			c.group = 1;
			c.instance = (uint32_t)(i + 1);
			c.incarnation = 11;
			c.listen_fd = s.listen_fd;
			c.peers = &other;
			c.npeers = 1;
			c.ctr = &s.ctr;
			c.on_message = on_message;
			c.on_disconnect = on_down;
			c.check_hello = on_hello;
			c.arg = &s;
			s.peer = peer_new(ev, ev, &c);
		}
	}
	void TearDown() override
	{
		for (int i = 0; i < 2; i++) {
			delete paths[i];
			talloc_free(sides[i].peer);
		}
		talloc_free(ev);
		log_set_level(LOG_INFO);
	}
	static void set_flag(struct tevent_context *, struct tevent_timer *,
	    struct timeval, void *arg)
	{
		*(bool *)arg = true;
	}
	void run_ms(uint32_t ms)
	{
		bool done = false;
		tevent_add_timer(ev, ev,
		    tevent_timeval_current_ofs(0, ms * 1000), set_flag, &done);
		loop_until(ev, &done);
	}
	void send_message(int from)
	{
		Control__PeerMsg m = CONTROL__PEER_MSG__INIT;
		Control__BeatReply b = CONTROL__BEAT_REPLY__INIT;
		m.group = 1;
		m.from = (uint32_t)(from + 1);
		m.beat_reply = &b;
		peer_send(sides[from].peer, (uint32_t)(2 - from), &m);
	}
	/* Sends a message each 50 ms until one arrives; returns how long that
	 * took, in ms. */
	int64_t send_until_received(int from)
	{
		struct timespec began = clk_now(&clk);
		size_t before = sides[1 - from].messages;
		while (sides[1 - from].messages == before &&
		    clk_diff_ms(clk_now(&clk), began) < 8000) {
			send_message(from);
			run_ms(50);
		}
		return clk_diff_ms(clk_now(&clk), began);
	}
};

/* Guards against replicas, relays and callers that are out of touch for as long
 * as a connection may be idle, once all of them go silent at one moment. Only
 * one side sends. */
TEST_F(PeerPair, PassesMessagesSoonAfterConnectionsWentSilent)
{
	for (int from = 0; from < 2; from++) {
		for (bool only_client : { false, true }) {
			send_until_received(from);
			paths[0]->mute(only_client);
			paths[1]->mute(only_client);
			EXPECT_LE(send_until_received(from), 2000)
			    << "from " << from << " only_client "
			    << only_client;
		}
	}
}

/* Guards against connections that went silent while the process was paused and
 * are kept for as long again, as the pause was added to times after it. */
TEST_F(PeerPair, PassesMessagesSoonAfterConnectionsWentSilentInAPause)
{
	for (int from = 0; from < 2; from++) {
		send_until_received(from);
		run_ms(400);
		usleep(3000 * 1000);
		paths[0]->mute(false);
		paths[1]->mute(false);
		send_message(from);
		peer_flush(sides[from].peer);
		EXPECT_LE(send_until_received(from), 2000) << "from " << from;
	}
}
