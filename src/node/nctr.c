#include "node/nctr.h"

/* Descriptions of the counters of an entry point. */
#define ENTRY(entry, prefix, text)                                             \
	[NCTR_##entry##_HEADERS_SLOW] = { prefix "_headers_slow",              \
		text ": closed, headers took over 10 s" },                     \
	[NCTR_##entry##_BODY_SLOW] = { prefix "_body_slow",                    \
		text ": closed, body came below the minimum rate" },           \
	[NCTR_##entry##_ANSWER_SLOW] = { prefix "_answer_slow",                \
		text ": closed, answers not read at the minimum rate" },       \
	[NCTR_##entry##_IDLE_LONG] = { prefix "_idle_long",                    \
		text ": closed, idle over 60 s" },                             \
	[NCTR_##entry##_SHED] = { prefix "_shed",                              \
		text ": closed, as memory or descriptors ran short" },         \
	[NCTR_##entry##_NOT_ACCEPTED] = { prefix "_not_accepted",              \
		text ": connections refused, no memory" },                     \
	[NCTR_##entry##_NO_MEMORY] = { prefix "_no_memory",                    \
		text ": requests refused with 503, no memory" },               \
	[NCTR_##entry##_CUT_OFF] = { prefix "_cut_off",                        \
		text ": bodies cut off with 413, over the limit" }

const struct ctr_desc nctr_desc[NCTR_COUNT] = {
	[NCTR_HTTP_REQUESTS] = { "http_requests", "requests received" },
	[NCTR_HTTP_BAD_TARGET] = { "http_bad_target",
	    "requests with an invalid target; fix the client" },
	[NCTR_HTTP_BAD_HEADER] = { "http_bad_header",
	    "requests with an invalid header field; fix the client" },
	[NCTR_HTTP_BODY_LIMIT] = { "http_body_limit",
	    "request bodies over the limit" },
	[NCTR_HTTP_BODY_SLOW] = { "http_body_slow",
	    "request bodies that took too long to arrive" },
	[NCTR_HTTP_CLIENT_GONE] = { "http_client_gone",
	    "clients that disconnected before their answer" },
	[NCTR_API_NO_ROUTE] = { "api_no_route", "unknown paths" },
	[NCTR_API_BAD_METHOD] = { "api_bad_method",
	    "methods that are not allowed for the path" },
	[NCTR_API_BAD_JSON] = { "api_bad_json", "bodies that are not JSON" },
	[NCTR_API_BAD_FIELD] = { "api_bad_field",
	    "fields missing, unknown or out of range" },
	[NCTR_API_TIMEOUT] = { "api_timeout",
	    "operations without a result in time" },
	[NCTR_API_BUSY] = { "api_busy",
	    "operations refused because the queue was full" },
	[NCTR_BACK_CALLS] = { "back_calls", "requests sent to workers" },
	[NCTR_BACK_CONNECT] = { "back_connect",
	    "connections to workers that failed" },
	[NCTR_BACK_RESET] = { "back_reset",
	    "connections closed or reset before the answer" },
	[NCTR_BACK_TRUNCATED] = { "back_truncated",
	    "answers shorter than announced" },
	[NCTR_BACK_NO_LENGTH] = { "back_no_length",
	    "answers with neither Content-Length nor chunks; fix the worker" },
	[NCTR_BACK_ANSWER_LIMIT] = { "back_answer_limit",
	    "answers over the limit" },
	[NCTR_BACK_WRONG_ANSWER] = { "back_wrong_answer",
	    "answers that carry the id of another request" },
	[NCTR_BACK_NOT_STARTED] = { "back_not_started",
	    "requests that a worker refused without running them" },
	[NCTR_BACK_ABORTED] = { "back_aborted",
	    "connections closed at a timeout" },
	[NCTR_BACK_RESEND_STOPPED] = { "back_resend_stopped",
	    "automatic resends by the HTTP library that were stopped" },
	[NCTR_PROBES] = { "probes", "probes sent to workers" },
	[NCTR_KEY_RECORD_LOST] = { "key_record_lost",
	    "requests with a key whose end could not be recorded" },
	[NCTR_PEER_ACCEPTED] = { "peer_accepted",
	    "connections accepted from instances" },
	[NCTR_PEER_CONNECTED] = { "peer_connected",
	    "connections made to instances" },
	[NCTR_PEER_CLOSED] = { "peer_closed",
	    "connections with instances that ended" },
	[NCTR_PEER_BAD_FRAME] = { "peer_bad_frame",
	    "frames with a wrong magic, version, type, length or CRC" },
	[NCTR_PEER_BAD_MESSAGE] = { "peer_bad_message",
	    "payloads that are no valid message" },
	[NCTR_PEER_HELLO_REFUSED] = { "peer_hello_refused",
	    "HELLO frames of another cluster, group or identity" },
	[NCTR_PEER_SILENT] = { "peer_silent",
	    "connections closed because nothing arrived" },
	[NCTR_PEER_QUEUE_FULL] = { "peer_queue_full",
	    "messages dropped because the send queue, or the memory for all of "
	    "them, was full" },
	[NCTR_PEER_TOO_LARGE] = { "peer_too_large",
	    "messages over the frame limit" },
	[NCTR_DISK_SYNCS] = { "disk_syncs", "syncs of the log" },
	[NCTR_DISK_FAILED] = { "disk_failed",
	    "failed writes or syncs; the replica stops" },
	[NCTR_RELAY_HANDED] = { "relay_handed",
	    "calls to workers sent to another instance to relay" },
	[NCTR_RELAY_MADE] = { "relay_made",
	    "calls to workers relayed for another instance's leader" },
	[NCTR_RELAY_STALE] = { "relay_stale",
	    "relayed calls not made because they arrived too late" },
	[NCTR_RELAY_LATE] = { "relay_late",
	    "starts and stops sent over 1 s after the leader relayed them" },
	[NCTR_RELAY_LOST] = { "relay_lost",
	    "times that an instance stopped relaying for this leader" },
	[NCTR_WCON_OPENED] = { "worker_connections_opened",
	    "connections to workers; less those closed: open now" },
	[NCTR_WCON_CLOSED] = { "worker_connections_closed",
	    "connections to workers that were closed" },
	[NCTR_WCON_FULL] = { "worker_connections_full",
	    "calls that found all connections in use; raise descriptors" },
	[NCTR_WCON_LATE] = { "worker_calls_late",
	    "calls to workers not sent, as their deadline had passed" },
	[NCTR_WCON_REUSED_SILENT] = { "worker_calls_reused_silent",
	    "calls to workers without an answer on a connection that had been "
	    "used before" },
	[NCTR_WCON_DISTRUSTED] = { "worker_connections_distrusted",
	    "idle connections to workers that were closed after a call to the "
	    "same worker got no answer" },
	[NCTR_TICKS_LATE] = { "ticks_late",
	    "ticks over 250 ms late: the process was suspended or lacked "
	    "processor time" },
	ENTRY(REQUESTS, "requests", "clients or workers"),
	ENTRY(READINESS, "readiness", "readiness address"),
	ENTRY(METRICS, "metrics", "metrics address"),
	[NCTR_PEER_READS_PAUSED] = { "peer_reads_paused",
	    "times that nothing more was read from an instance until there was "
	    "memory for its message" },
	[NCTR_PEER_SLOW] = { "peer_slow",
	    "connections closed, as a large message arrived too slowly" },
	[NCTR_PEERS_SHED] = { "peers_shed",
	    "connections that had not said HELLO, closed for new ones" },
	[NCTR_CALLS_NO_MEMORY] = { "calls_no_memory",
	    "calls that the leader had no memory to queue; reads get 429" },
};
