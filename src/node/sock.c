#include "node/sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

/* Parses IPv4:port or [IPv6]:port. Host names are not resolved. */
enum status
sock_parse_addr(
    struct str s, struct sockaddr_storage *ss, socklen_t *len, struct err *e)
{
	struct sockaddr_in *in = (struct sockaddr_in *)ss;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)ss;
	const char *colon;
	char host[INET6_ADDRSTRLEN];
	struct str h, p;
	int64_t port;

	memset(ss, 0, sizeof(*ss));
	colon = s.len > 0 ? memrchr(s.p, ':', s.len) : NULL;
	if (colon == NULL)
		return err_set(e, STATUS_INVALID,
		    "address \"" STR_FMT "\": expected IP:port", STR_ARG(s));
	h = str_mem(s.p, (size_t)(colon - s.p));
	p = str_mem(colon + 1, s.len - h.len - 1);
	if (!str_to_i64(p, &port) || port < 0 || port > 65535)
		return err_set(e, STATUS_INVALID,
		    "address \"" STR_FMT "\": expected a port from 0 to 65535",
		    STR_ARG(s));
	if (h.len >= 2 && h.p[0] == '[' && h.p[h.len - 1] == ']') {
		h = str_mem(h.p + 1, h.len - 2);
		in6->sin6_family = AF_INET6;
	} else {
		in->sin_family = AF_INET;
	}
	if (h.len >= sizeof(host))
		return err_set(e, STATUS_INVALID,
		    "address \"" STR_FMT "\": expected an IP address",
		    STR_ARG(s));
	memcpy(host, h.p, h.len);
	host[h.len] = '\0';
	if (ss->ss_family == AF_INET6) {
		in6->sin6_port = htons((uint16_t)port);
		*len = sizeof(*in6);
		if (inet_pton(AF_INET6, host, &in6->sin6_addr) == 1)
			return STATUS_OK;
	} else {
		in->sin_port = htons((uint16_t)port);
		*len = sizeof(*in);
		if (inet_pton(AF_INET, host, &in->sin_addr) == 1)
			return STATUS_OK;
	}
	return err_set(e, STATUS_INVALID,
	    "address \"" STR_FMT "\": expected an IP address", STR_ARG(s));
}

/* Opens a listening socket; the caller closes it. */
int
sock_listen(struct str addr, bool shared, struct err *e)
{
	struct sockaddr_storage ss;
	socklen_t len = 0;
	int fd, on = 1;

	if (sock_parse_addr(addr, &ss, &len, e) != STATUS_OK)
		return -1;
	fd =
	    socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		err_errno(e, STATUS_IO, "socket");
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (shared)
		setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&ss, len) < 0 ||
	    listen(fd, SOCK_BACKLOG) < 0) {
		err_errno(e, STATUS_IO, "listen on " STR_FMT, STR_ARG(addr));
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Starts to connect; the descriptor becomes writable once the attempt has
 * succeeded or failed.
 */
int
sock_connect(struct str addr, struct err *e)
{
	struct sockaddr_storage ss;
	socklen_t len = 0;
	int fd;

	if (sock_parse_addr(addr, &ss, &len, e) != STATUS_OK)
		return -1;
	fd =
	    socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		err_errno(e, STATUS_IO, "socket");
		return -1;
	}
	sock_set_nodelay(fd);
	if (connect(fd, (struct sockaddr *)&ss, len) < 0 &&
	    errno != EINPROGRESS) {
		err_errno(e, STATUS_IO, "connect to " STR_FMT, STR_ARG(addr));
		close(fd);
		return -1;
	}
	return fd;
}

/* Disables Nagle's algorithm, so that small messages are sent at once. */
void
sock_set_nodelay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}
