/*
 * Messages between the instances of one system, over connections made on
 * demand, and calls on the leader.
 */
#ifndef NODE_MESH_H
#define NODE_MESH_H

#include <tevent.h>

#include "base/clk.h"
#include "node/caller.h"
#include "node/inst.h"
#include "node/peer.h"

__BEGIN_DECLS

/* The settings file may change without a signal; it is checked this often. */
#define MESH_SETTINGS_CHECK_MS 1000

struct mesh;

struct mesh_conf {
	const struct inst *inst;
	uint64_t incarnation, replica, generation;
	struct ctr_set *ctr;
	size_t connections_max;	 /* from other instances */
	struct memacct *account; /* of the memory of connections; or NULL */
	/* A message from another instance, or from this one to itself. */
	void (*on_job)(void *arg, uint32_t from, const Job__Msg *);
	/* A message of the consensus protocol; may be NULL. */
	void (*on_raft)(void *arg, const Control__RaftMsg *);
	/* The connection to an instance failed; may be NULL. */
	void (*on_disconnect)(void *arg, uint32_t instance);
	/* A replica introduces itself; false refuses it. May be NULL. */
	bool (*on_hello)(void *arg, uint64_t replica, uint64_t generation,
	    uint64_t incarnation);
	void *arg;
};

/* Listens for other instances and connects to the seeds. */
struct mesh *mesh_new(TALLOC_CTX *, struct tevent_context *,
    const struct mesh_conf *, struct err *);
/* Sends a message. Returns false if it isn't sent; a message that is sent is
 * lost if the instance can't be reached. */
bool mesh_send(struct mesh *, uint32_t instance, const Job__Msg *);
void mesh_send_raft(struct mesh *, uint32_t instance, Control__RaftMsg *);
/* Connects to an instance unless it is known. */
void mesh_connect(struct mesh *, uint32_t instance);
/* Reads the settings again: new seeds and the log level take effect, the rest
 * needs a restart. */
void mesh_reload(struct mesh *);
/* Ends calls past their deadline, finds the leader, checks whether the settings
 * file has changed. */
void mesh_tick(struct mesh *);
/* Returns the caller, which makes the calls on the leader. */
struct caller *mesh_caller(struct mesh *);
/* Return the monotonic time, and the time of day in ms since 1970. */
struct timespec mesh_now(struct mesh *);
int64_t mesh_wall_ms(struct mesh *);

__END_DECLS

#endif
