/* Non-blocking TCP sockets for addresses in text form. */
#ifndef NODE_SOCK_H
#define NODE_SOCK_H

#include <sys/socket.h>

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

#define SOCK_BACKLOG 512

/* Parses IPv4:port or [IPv6]:port; STATUS_INVALID for anything else. */
enum status sock_parse_addr(
    struct str, struct sockaddr_storage *, socklen_t *, struct err *);
/* Returns a listening socket, -1 on failure. shared: sets SO_REUSEPORT. */
int sock_listen(struct str addr, bool shared, struct err *);
/* Starts to connect and returns the socket, -1 on failure. */
int sock_connect(struct str addr, struct err *);
/* Has small messages sent at once. */
void sock_set_nodelay(int fd);

__END_DECLS

#endif
