#include "script_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"

struct script_conn {
	struct script_server *s;
	int fd;
	std::string in;
	struct tevent_fd *fde;
	bool is_muted;
};

static void
conn_end(struct script_conn *c)
{
	talloc_free(c->fde);
	close(c->fd);
	c->s->closed++;
	c->s->conns.erase(c);
	delete c;
}

static void
on_data(struct tevent_context *, struct tevent_fd *, uint16_t, void *arg)
{
	struct script_conn *c = (struct script_conn *)arg;
	char buf[4096];
	ssize_t n = read(c->fd, buf, sizeof(buf));

	if (n <= 0) {
		conn_end(c);
		return;
	}
	if (c->is_muted)
		return;
	c->in.append(buf, (size_t)n);
	if (c->in.find("\r\n\r\n") == std::string::npos)
		return;
	size_t k = c->s->requests.size();
	c->s->requests.push_back(c->in);
	c->in.clear();
	if (k >= c->s->steps.size())
		return;
	const script_step &step = c->s->steps[k];
	if (write(c->fd, step.reply.data(), step.reply.size()) < 0 ||
	    step.close_after)
		conn_end(c);
}

static void
on_accept(struct tevent_context *ev, struct tevent_fd *, uint16_t, void *arg)
{
	struct script_server *s = (struct script_server *)arg;
	int fd = accept(s->fd, NULL, NULL);

	if (fd < 0)
		return;
	s->accepted++;
	s->has_accepted = true;
	struct script_conn *c = new script_conn{ s, fd, "", NULL, false };
	c->fde = tevent_add_fd(ev, ev, fd, TEVENT_FD_READ, on_data, c);
	s->conns.insert(c);
}

script_server::script_server(struct tevent_context *e) : ev(e)
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

script_server::~script_server()
{
	while (!conns.empty())
		conn_end(*conns.begin());
	talloc_free(fde);
	close(fd);
}

void
script_server::mute()
{
	for (struct script_conn *c : conns)
		c->is_muted = true;
}

void
script_server::write_stray(const std::string &bytes)
{
	for (struct script_conn *c : conns) {
		if (write(c->fd, bytes.data(), bytes.size()) < 0)
			abort();
	}
}

static void
on_limit(
    struct tevent_context *, struct tevent_timer *, struct timeval, void *arg)
{
	*(bool *)arg = true;
}

bool
loop_until(struct tevent_context *ev, const bool *done)
{
	bool late = false;
	struct tevent_timer *t = tevent_add_timer(
	    ev, ev, tevent_timeval_current_ofs(10, 0), on_limit, &late);

	while (!*done && !late)
		tevent_loop_once(ev);
	if (!late)
		talloc_free(t);
	return *done;
}
