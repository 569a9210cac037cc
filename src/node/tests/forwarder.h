/* Forwards TCP connections on the loopback interface to another address, for
 * tests of connections that stop carrying data without being closed. */
#ifndef NODE_TESTS_FORWARDER_H
#define NODE_TESTS_FORWARDER_H

#include <set>
#include <string>

extern "C" {
#include <tevent.h>
}

struct forwarder_pair;

struct forwarder {
	struct tevent_context *ev;
	int fd;
	struct tevent_fd *fde;
	std::string addr, target;
	size_t accepted = 0;
	std::set<forwarder_pair *> pairs;

	forwarder(struct tevent_context *, const std::string &target);
	~forwarder();
	/* From now on, what arrives on the open connections is discarded: from
	 * the client, and from the target as well unless only_client. */
	void mute(bool only_client);
};

#endif
