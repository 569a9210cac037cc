/* Sockets from the text form of an address; everything non-blocking. */
#ifndef NODE_SOCK_H
#define NODE_SOCK_H

#include <sys/socket.h>

#include "base/err.h"
#include "base/str.h"

__BEGIN_DECLS

#define SOCK_BACKLOG 512

enum status sock_addr(
    struct str, struct sockaddr_storage *, socklen_t *, struct err *);
/* Listening TCP socket, -1 on failure. shared: several may bind it. */
int sock_listen(struct str addr, bool shared, struct err *);
/* Begins to connect, -1 on failure. */
int sock_connect(struct str addr, struct err *);
/* Socket options of a connection between instances. */
void sock_tune(int fd);

__END_DECLS

#endif
