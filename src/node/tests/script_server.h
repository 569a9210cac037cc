/* A TCP server on loopback that follows a script, for tests of clients. */
#ifndef NODE_TESTS_SCRIPT_SERVER_H
#define NODE_TESTS_SCRIPT_SERVER_H

#include <set>
#include <string>
#include <vector>

extern "C" {
#include <tevent.h>
}

/* What is done with one request: the bytes sent back, then perhaps an end. */
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
	std::vector<std::string> requests;
	std::set<script_conn *> conns;

	explicit script_server(struct tevent_context *);
	~script_server();
};

/* Runs the loop until *done or 10 s have passed. */
bool loop_until(struct tevent_context *, const bool *done);

#endif
