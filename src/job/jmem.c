#include "job/jmem.h"

#include <string.h>

#include "job/jst.h"

#define MB ((size_t)1024 * 1024)

/* The allocator's header, and the unit and the least size of its blocks. */
#define BLOCK_HEADER_BYTES 8
#define BLOCK_UNIT_BYTES   16
#define BLOCK_MIN_BYTES	   32
/* An entry of a hash table that is half full: key, value and hash. */
#define HASH_ENTRY_BYTES 48
/* A node of the index by time. */
#define TIMER_BYTES 64
/* A job in a snapshot without its specification and tasks. */
#define JOB_IMAGE_BYTES 64

/* Returns one part of a replica's memory in bytes. */
static size_t
get_part(uint32_t memory_mb, uint32_t parts)
{
	return (size_t)memory_mb * MB / JMEM_PARTS * parts;
}

/* Divides the memory of a replica. */
struct jmem_limits
jmem_split(uint32_t memory_mb)
{
	uint32_t mb = memory_mb == 0 ? JMEM_DEFAULT_MB : memory_mb;
	size_t least = (size_t)mb * MB / JMEM_JOBS_MIN_DIVISOR;
	struct jmem_limits l;

	l.jobs = get_part(mb, JMEM_JOBS_PARTS);
	l.jobs = l.jobs < least + JMEM_BASE_MB * MB
	    ? least
	    : l.jobs - JMEM_BASE_MB * MB;
	/* The log itself, the copy on its way to the disk, and what is added
	 * while a snapshot is being written. */
	l.log = get_part(mb, JMEM_LOG_PARTS) / 3;
	l.checkpoints = get_part(mb, JMEM_RUNS_PARTS) / 4;
	l.workers =
	    (uint32_t)(get_part(mb, JMEM_WORKERS_PARTS) / JMEM_WORKER_BYTES);
	if (l.workers > JST_WORKERS_MAX)
		l.workers = JST_WORKERS_MAX;
	l.runs = (uint32_t)((get_part(mb, JMEM_RUNS_PARTS) - l.checkpoints) /
	    JMEM_RUN_BYTES);
	/* A gang starts as a whole. */
	if (l.runs < JST_TASKS_MAX)
		l.runs = JST_TASKS_MAX;
	return l;
}

/* Returns what an allocation takes, with the allocator's header. */
size_t
jmem_block(size_t n)
{
	size_t whole = (n + BLOCK_HEADER_BYTES + BLOCK_UNIT_BYTES - 1) /
	    BLOCK_UNIT_BYTES * BLOCK_UNIT_BYTES;

	if (n == 0)
		return 0;
	return whole < BLOCK_MIN_BYTES ? BLOCK_MIN_BYTES : whole;
}

/* Returns the size of an element of a repeated field. */
static size_t
element_size(const ProtobufCFieldDescriptor *f)
{
	switch (f->type) {
	case PROTOBUF_C_TYPE_INT64:
	case PROTOBUF_C_TYPE_SINT64:
	case PROTOBUF_C_TYPE_SFIXED64:
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_FIXED64:
	case PROTOBUF_C_TYPE_DOUBLE:
		return sizeof(uint64_t);
	case PROTOBUF_C_TYPE_STRING:
	case PROTOBUF_C_TYPE_MESSAGE:
		return sizeof(void *);
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	default:
		return sizeof(uint32_t);
	}
}

/* Returns what a value of a field points to. */
static size_t
value_bytes(const ProtobufCFieldDescriptor *f, const void *value)
{
	const void *const *p = value;

	switch (f->type) {
	case PROTOBUF_C_TYPE_STRING:
		return *p == NULL || *p == f->default_value
		    ? 0
		    : jmem_block(strlen(*p) + 1);
	case PROTOBUF_C_TYPE_MESSAGE:
		return *p == NULL ? 0 : jmem_message(*p);
	case PROTOBUF_C_TYPE_BYTES:
		return jmem_block(((const ProtobufCBinaryData *)value)->len);
	default:
		return 0;
	}
}

/* Returns what an unpacked message takes. */
size_t
jmem_message(const ProtobufCMessage *m)
{
	const ProtobufCMessageDescriptor *d = m->descriptor;
	size_t sum = jmem_block(d->sizeof_message);
	const uint8_t *base = (const uint8_t *)m;
	unsigned i;
	size_t k, n;

	for (i = 0; i < d->n_fields; i++) {
		const ProtobufCFieldDescriptor *f = &d->fields[i];
		const uint8_t *at = base + f->offset;

		if (f->label != PROTOBUF_C_LABEL_REPEATED) {
			sum += value_bytes(f, at);
			continue;
		}
		memcpy(&n, base + f->quantifier_offset, sizeof(n));
		memcpy(&at, base + f->offset, sizeof(at));
		sum += jmem_block(n * element_size(f));
		for (k = 0; k < n; k++)
			sum += value_bytes(f, at + k * element_size(f));
	}
	return sum;
}

/* Returns what an active job takes without its occurrences. */
size_t
jmem_job(const Job__Submit *m)
{
	return jmem_ended(m->queue) + TIMER_BYTES +
	    jmem_message((const ProtobufCMessage *)m) +
	    JMEM_SNAPSHOT_COPIES * job__submit__get_packed_size(m);
}

/* Returns what an occurrence of a job takes. */
size_t
jmem_occurrence(const Job__Spec *spec)
{
	size_t sum = jmem_block(sizeof(struct jst_occ) +
			 spec->n_steps * sizeof(struct jst_step)) +
	    jmem_block(sizeof(struct jst_occ *));
	size_t i;

	for (i = 0; i < spec->n_steps; i++) {
		const Job__Step *s = spec->steps[i];
		size_t task = JMEM_SNAPSHOT_COPIES * JMEM_TASK_IMAGE_BYTES;

		if (s->checkpoints)
			task += jmem_block(JMEM_CHECKPOINT_BYTES + 1) +
			    JMEM_SNAPSHOT_COPIES * (JMEM_CHECKPOINT_BYTES + 2);
		sum += jmem_block(s->count * sizeof(struct jst_task)) +
		    s->count * task;
	}
	return sum;
}

/* Returns what an ended job takes of which no task is assigned. */
size_t
jmem_ended(const char *queue)
{
	return jmem_block(sizeof(struct jst_job)) +
	    jmem_block(strlen(queue) + 1) + HASH_ENTRY_BYTES +
	    JMEM_SNAPSHOT_COPIES * (JOB_IMAGE_BYTES + strlen(queue));
}

/* Returns what a checkpoint takes. */
size_t
jmem_checkpoint(const char *text)
{
	return text == NULL ? 0
			    : jmem_block(strlen(text) + 1) +
		JMEM_SNAPSHOT_COPIES * (strlen(text) + 2);
}
