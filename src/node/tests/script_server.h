/* A TCP server on the loopback interface that answers by a script, for tests of
 * clients. */
#ifndef NODE_TESTS_SCRIPT_SERVER_H
#define NODE_TESTS_SCRIPT_SERVER_H

#include <set>
#include <string>
#include <vector>

extern "C" {
#include <tevent.h>
}

/* The reply to one request, as raw bytes; the connection may be closed after
 * it. */
struct script_step {
	std::string reply;
	bool close_after;
};

struct script_conn;

struct script_server {
	struct tevent_context *ev;
	int fd;
	struct tevent_fd *fde;
	std::string addr;
	std::vector<script_step> steps;
	size_t accepted = 0, closed = 0;
	bool has_accepted = false;
	std::vector<std::string> requests;
	std::set<script_conn *> conns;

	explicit script_server(struct tevent_context *);
	~script_server();
	/* From now on, what arrives on the open connections is discarded. */
	void mute();
	/* Writes bytes that answer no request to each open connection. */
	void write_stray(const std::string &);
};

/* Runs the event loop until *done is set or 10 s have passed; returns *done. */
bool loop_until(struct tevent_context *, const bool *done);

#endif
