#include "forwarder.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/sock.h"

/* A client's connection and the one to the target. */
struct forwarder_pair {
	struct forwarder *f;
	int fd[2]; /* client, target */
	struct tevent_fd *fde[2];
	bool is_muted[2]; /* what comes from there is discarded */
};

static void
pair_end(struct forwarder_pair *p)
{
	for (int i = 0; i < 2; i++) {
		talloc_free(p->fde[i]);
		close(p->fd[i]);
	}
	p->f->pairs.erase(p);
	delete p;
}

static void
pair_forward(struct forwarder_pair *p, int from)
{
	char buf[65536];
	ssize_t n = read(p->fd[from], buf, sizeof(buf));

	if (n <= 0)
		pair_end(p);
	else if (!p->is_muted[from] &&
	    send(p->fd[1 - from], buf, (size_t)n, MSG_NOSIGNAL) != n)
		pair_end(p);
}

static void
on_client(struct tevent_context *, struct tevent_fd *, uint16_t, void *arg)
{
	pair_forward((struct forwarder_pair *)arg, 0);
}

static void
on_target(struct tevent_context *, struct tevent_fd *, uint16_t, void *arg)
{
	pair_forward((struct forwarder_pair *)arg, 1);
}

static void
on_accept(struct tevent_context *ev, struct tevent_fd *, uint16_t, void *arg)
{
	struct forwarder *f = (struct forwarder *)arg;
	struct sockaddr_storage ss;
	socklen_t len = 0;
	struct err e;
	int fd = accept(f->fd, NULL, NULL);
	int to = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 ||
	    sock_parse_addr(str_from(f->target.c_str()), &ss, &len, &e) !=
		STATUS_OK ||
	    connect(to, (struct sockaddr *)&ss, len) != 0) {
		close(fd);
		close(to);
		return;
	}
	f->accepted++;
	sock_set_nodelay(fd);
	sock_set_nodelay(to);
	struct forwarder_pair *p = new forwarder_pair{ f, { fd, to },
		{ NULL, NULL }, { false, false } };
	p->fde[0] = tevent_add_fd(ev, ev, fd, TEVENT_FD_READ, on_client, p);
	p->fde[1] = tevent_add_fd(ev, ev, to, TEVENT_FD_READ, on_target, p);
	f->pairs.insert(p);
}

forwarder::forwarder(struct tevent_context *e, const std::string &t)
    : ev(e), target(t)
{
	struct sockaddr_in sin = {};
	socklen_t len = sizeof(sin);

	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, 16) != 0)
		abort();
	getsockname(fd, (struct sockaddr *)&sin, &len);
	addr = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
	fde = tevent_add_fd(ev, ev, fd, TEVENT_FD_READ, on_accept, this);
}

forwarder::~forwarder()
{
	while (!pairs.empty())
		pair_end(*pairs.begin());
	talloc_free(fde);
	close(fd);
}

void
forwarder::mute(bool only_client)
{
	for (struct forwarder_pair *p : pairs) {
		p->is_muted[0] = true;
		p->is_muted[1] = p->is_muted[1] || !only_client;
	}
}
